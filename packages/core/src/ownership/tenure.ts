import type { NodeRun } from "../membership/mod.ts";
import type {
  EngineId,
  FencingNumber,
  LogOffset,
  NodeId,
} from "../shared/mod.ts";

/**
 * Why an engine's controller or successors change.
 * - `initial`: the engine has no controller yet
 * - `takeover`: a designated successor replaces a silent controller
 * - `handover`: the controller transfers the engine to another node
 * - `keep`: the controller stays and names other successors
 * - `repair`: the view lists neither the controller nor any successor
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
 * - `none`: nothing, since the previous controller has stopped
 * - `lease`: the expiry of the previous controller's lease
 * - `horizon`: the longest time for which promises replace that lease
 */
export type TenureWait = "none" | "lease" | "horizon";

/** Who controls an engine, as of one offset of the log. */
export interface Tenure {
  readonly engine: EngineId;
  readonly offset: LogOffset;
  readonly reason: TenureReason;
  readonly fencing: FencingNumber;
  readonly controller: NodeRun;
  /** The only nodes that may take over, in order of precedence. */
  readonly successors: readonly NodeId[];
  readonly wait: TenureWait;
}
