import type { EngineId, Instant } from "../shared/mod.ts";
import type { RequestEvent } from "./request_event.ts";

/** Observes request events without influencing the requests. */
export abstract class RequestObserver {
  /**
   * Records an event.
   * @param now The current time.
   * @param event The event.
   */
  abstract record(now: Instant, event: RequestEvent): void;

  /**
   * Records how much of its batch an engine used. Does nothing by default.
   * @param _now The current time.
   * @param _sample The engine's batch usage.
   */
  // eslint-disable-next-line @typescript-eslint/no-unused-vars -- Documents the parameters for subclasses.
  recordBatch(_now: Instant, _sample: BatchSample): void {
    // Overridden by observers that record batch usage.
  }
}

/** How much of its batch an engine used in one or several steps. */
export interface BatchSample {
  readonly engine: EngineId;
  /** The share of the batch in use, from 0 to 1. */
  readonly fill: number;
}
