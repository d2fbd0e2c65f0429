import type { NodeRun } from "../membership/mod.ts";
import type {
  EngineId,
  FencingNumber,
  LogOffset,
  NodeId,
} from "../shared/mod.ts";

/**
 * Why an engine's controller or successors change.
 * - `initial`: the engine has had no controller yet
 * - `takeover`: a designated successor replaces a silent controller
 * - `handover`: the controller gives the engine to another node
 * - `keep`: the controller stays and names other successors
 * - `repair`: controller and successors are all gone
 */
export type TenureReason =
  | "initial"
  | "takeover"
  | "handover"
  | "keep"
  | "repair";

/** A record that proposes an engine's next tenure. */
export interface TenureRecord {
  readonly kind: "tenure";
  /** Unique for each append. */
  readonly id: string;
  readonly engine: EngineId;
  /** The offset of the tenure that this one replaces. */
  readonly base: LogOffset;
  readonly reason: TenureReason;
  /** Who appends the record. */
  readonly by: NodeRun;
  readonly controller: NodeRun;
  readonly successors: readonly NodeId[];
}

/**
 * What a new controller waits for before its first order.
 * - `none`: the controller before has stopped
 * - `lease`: the lease of the controller before
 * - `horizon`: the longest time that promises carry the controller before
 */
export type TenureWait = "none" | "lease" | "horizon";

/** Who controls an engine, as of one offset of the log. */
export interface Tenure {
  readonly engine: EngineId;
  readonly offset: LogOffset;
  readonly reason: TenureReason;
  readonly fencing: FencingNumber;
  readonly controller: NodeRun;
  /** The only nodes that may take over, in their order. */
  readonly successors: readonly NodeId[];
  readonly wait: TenureWait;
}
