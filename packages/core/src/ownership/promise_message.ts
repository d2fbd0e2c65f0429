import type { NodeRun } from "../membership/mod.ts";
import type { Duration, EngineId, LogOffset } from "../shared/mod.ts";

/** An engine for which a promise is asked, and the tenure the asker knows. */
export interface AskedEngine {
  readonly engine: EngineId;
  readonly tenure: LogOffset;
}

/** A controller asks a successor not to claim its engines for a while. */
export interface PromiseAsk {
  readonly kind: "ask";
  readonly from: NodeRun;
  /** Counts the asks of one run. */
  readonly number: number;
  /** How long the promise is to last. */
  readonly duration: Duration;
  readonly engines: readonly AskedEngine[];
}

/** A successor's answer: the engines for which it promises. */
export interface PromiseAnswer {
  readonly kind: "promise";
  readonly from: NodeRun;
  /** The run that asked. */
  readonly to: NodeRun;
  readonly number: number;
  readonly engines: readonly EngineId[];
}
