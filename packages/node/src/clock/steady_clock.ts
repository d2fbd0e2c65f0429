import { type Instant, instant } from "@foxtailwind/core";

/** A VM's own steady clock. */
export abstract class SteadyClock {
  /** Reads the clock. */
  abstract now(): Instant;
}

/** The steady clock of this process. */
export class ProcessClock extends SteadyClock {
  override now(): Instant {
    return instant(performance.now());
  }
}
