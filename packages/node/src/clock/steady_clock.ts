import { type Instant, instant } from "@foxtailwind/core";

/** A monotonic clock of one VM. */
export abstract class SteadyClock {
  /** @returns The current time of the clock. */
  abstract now(): Instant;
}

/** The monotonic clock of this process. */
export class ProcessClock extends SteadyClock {
  override now(): Instant {
    return instant(performance.now());
  }
}
