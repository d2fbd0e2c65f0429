import { type LogOffset, type NodeId } from "../shared/mod.ts";
import type { Member, NodeRun } from "./member.ts";

/** The offset that represents "no record yet". */
export const NO_OFFSET = -1 as LogOffset;

/** A record that proposes the next view. */
export interface ViewRecord {
  readonly kind: "view";
  /** Unique per append. */
  readonly id: string;
  /** The offset of the view that this one replaces. */
  readonly base: LogOffset;
  readonly members: readonly Member[];
}

/** The members in force as of a log offset. */
export interface View {
  readonly offset: LogOffset;
  readonly members: readonly Member[];
}

/** The view before the first record. */
export const EMPTY_VIEW: View = { offset: NO_OFFSET, members: [] };

/**
 * Finds a node in a view.
 * @param view The view.
 * @param node The node.
 * @returns The member, or undefined if the node is not in the view.
 */
export function findMember(view: View, node: NodeId): Member | undefined {
  return view.members.find((member) => member.node === node);
}

/**
 * Checks whether a run of a node is in a view.
 * @param view The view.
 * @param run The run.
 * @returns Whether the view lists the node with this incarnation.
 */
export function listsRun(view: View, run: NodeRun): boolean {
  return findMember(view, run.node)?.incarnation === run.incarnation;
}
