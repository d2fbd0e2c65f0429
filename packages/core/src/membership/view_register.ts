import { assertInvariant, type LogOffset, type NodeId } from "../shared/mod.ts";
import type { Member } from "./member.ts";
import { EMPTY_VIEW, type View, type ViewRecord } from "./view.ts";

/** The view state derived from the log; stored in snapshots. */
export interface ViewRegisterState {
  readonly view: View;
  /** The newest run of every node that has ever been a member. */
  readonly newest: readonly Member[];
}

/** Decides which view records take effect; identical for all readers. */
export class ViewRegister {
  #view: View = EMPTY_VIEW;
  readonly #newest = new Map<NodeId, Member>();

  /** The view in force. */
  get view(): View {
    return this.#view;
  }

  /** The state, for a snapshot. */
  get state(): ViewRegisterState {
    const newest = [...this.#newest.values()];
    newest.sort((left, right) => left.node < right.node ? -1 : 1);
    return { view: this.#view, newest };
  }

  /**
   * Restores the state from a snapshot.
   * @param state The state.
   */
  restore(state: ViewRegisterState): void {
    this.#view = state.view;
    this.#newest.clear();
    for (const member of state.newest) this.#newest.set(member.node, member);
  }

  /**
   * Returns the newest known run of a node.
   * @param node The node.
   * @returns The run, or undefined if the node has never been a member.
   */
  newestRun(node: NodeId): Member | undefined {
    return this.#newest.get(node);
  }

  /**
   * Applies a record if its base is the view in force.
   * @param offset The record's offset.
   * @param record The record.
   * @param baseAccepted Whether the base counts as current.
   * @returns Whether the record took effect.
   */
  apply(
    offset: LogOffset,
    record: ViewRecord,
    { baseAccepted }: { readonly baseAccepted: boolean },
  ): boolean {
    if (!baseAccepted) return false;
    if (record.members.some((member) => this.#isOutdated(member))) return false;
    assertInvariant(
      record.base === this.#view.offset,
      "view_replaces_its_base",
      () => `view ${offset} is based on ${record.base}`,
    );
    this.#view = { offset, members: record.members };
    for (const member of record.members) this.#newest.set(member.node, member);
    return true;
  }

  #isOutdated(member: Member): boolean {
    const newest = this.#newest.get(member.node);
    if (newest === undefined) return false;
    if (member.generation < newest.generation) return true;
    return member.generation === newest.generation &&
      member.incarnation !== newest.incarnation;
  }
}
