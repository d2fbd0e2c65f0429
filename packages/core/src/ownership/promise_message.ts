import type { NodeRun } from "../membership/mod.ts";
import type { Duration, EngineId, LogOffset } from "../shared/mod.ts";

/** An engine for which a promise is requested. */
export interface RequestedPromise {
  readonly engine: EngineId;
  /** The offset of the engine's tenure as known to the requester. */
  readonly tenure: LogOffset;
}

/** A controller's request to a successor not to claim its engines. */
export interface PromiseRequest {
  readonly kind: "ask";
  readonly from: NodeRun;
  /** Sequence number of the request within one run. */
  readonly number: number;
  /** The requested duration of the promise. */
  readonly duration: Duration;
  readonly engines: readonly RequestedPromise[];
}

/** A successor's response, with the engines for which it grants a promise. */
export interface PromiseResponse {
  readonly kind: "promise";
  readonly from: NodeRun;
  /** The run that sent the request. */
  readonly to: NodeRun;
  readonly number: number;
  readonly engines: readonly EngineId[];
}
