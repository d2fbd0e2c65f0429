import type { DroppedFrames } from "@foxtailwind/core";

/** Counts what the delivery of generations dropped and tried again. */
export class DeliveryCounters {
  /** Frames dropped, by reason. */
  readonly dropped = { late: 0, foreign: 0, repeated: 0, misordered: 0 };
  retried = 0;
  resumed = 0;

  /**
   * Adds the frames that one request dropped.
   * @param dropped The frames, by reason.
   */
  addDropped(dropped: DroppedFrames): void {
    this.dropped.late += dropped.late;
    this.dropped.foreign += dropped.foreign;
    this.dropped.repeated += dropped.repeated;
    this.dropped.misordered += dropped.misordered;
  }
}
