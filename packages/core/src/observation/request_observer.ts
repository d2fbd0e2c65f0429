import type { EngineId, Instant } from "../shared/mod.ts";
import type { RequestEvent } from "./request_event.ts";

/** Learns what happens to requests; never influences it. */
export abstract class RequestObserver {
  /**
   * Takes note of an event.
   * @param now The present time.
   * @param event The event.
   */
  abstract record(now: Instant, event: RequestEvent): void;

  /**
   * Takes note of how fully an engine used its batch. By default, not at all.
   * @param _now The present time.
   * @param _sample What the engine did.
   */
  // eslint-disable-next-line @typescript-eslint/no-unused-vars -- Named for those who override it.
  recordBatch(_now: Instant, _sample: BatchSample): void {
    // Kept by observers that count batches.
  }
}

/** How fully an engine used its batch in a step or a span of steps. */
export interface BatchSample {
  readonly engine: EngineId;
  /** The share of the batch in use, 0 to 1. */
  readonly fill: number;
}
