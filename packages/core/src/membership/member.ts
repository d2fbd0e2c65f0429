import type {
  FailureDomainId,
  IncarnationId,
  NodeId,
  RegionId,
} from "../shared/mod.ts";

/** One run of a node's process. */
export interface NodeRun {
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
}

/** A node as a view lists it. */
export interface Member extends NodeRun {
  /** Grows with each run of the node that joins; an older run never returns. */
  readonly generation: number;
  readonly region: RegionId;
  readonly failureDomain: FailureDomainId;
  /** Share of the engines relative to other nodes; positive. */
  readonly weight: number;
  /** IP literal and port for gRPC between nodes. */
  readonly address: string;
}

/**
 * Compares two runs.
 * @param left One run.
 * @param right The other.
 * @returns Whether both are the same run of the same node.
 */
export function sameRun(left: NodeRun, right: NodeRun): boolean {
  return left.node === right.node && left.incarnation === right.incarnation;
}
