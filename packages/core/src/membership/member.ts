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

/** A node as listed in a view. */
export interface Member extends NodeRun {
  /** Increases with each run that joins; an older run never rejoins. */
  readonly generation: number;
  readonly region: RegionId;
  readonly failureDomain: FailureDomainId;
  /** The node's relative share of the engines; positive. */
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
