import type { DroppedFrames } from "@foxtailwind/core";

/** Counts dropped frames, retries and resumptions of generations. */
export class DeliveryCounters {
  /** Dropped frames by reason. */
  readonly dropped = { late: 0, foreign: 0, repeated: 0, misordered: 0 };
  retried = 0;
  resumed = 0;

  /**
   * Adds the frames that were dropped for one request.
   * @param dropped The number of frames by reason.
   */
  addDropped(dropped: DroppedFrames): void {
    this.dropped.late += dropped.late;
    this.dropped.foreign += dropped.foreign;
    this.dropped.repeated += dropped.repeated;
    this.dropped.misordered += dropped.misordered;
  }
}
