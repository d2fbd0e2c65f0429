import { type Instant, instant } from "../../shared/mod.ts";

/** The two clocks drift by less than this between two readings. */
const MAXIMUM_DRIFT_MILLISECONDS = 50;

/**
 * Adds the time for which the VM was suspended to its monotonic clock, which
 * stands still meanwhile. A suspension shows as a jump of the time of day. An
 * adjustment of the time of day looks the same and is counted too, which only
 * makes things appear older; an adjustment backwards during a suspension hides
 * as much of it.
 */
export class SuspensionDetector {
  #offsetMilliseconds: number | undefined;
  #suspendedMilliseconds = 0;

  /**
   * Returns the present time with all suspensions so far.
   * @param now The reading of the monotonic clock.
   * @param timeOfDay The time of day in Unix milliseconds.
   * @returns The time; it never decreases.
   */
  read(now: Instant, timeOfDay: number): Instant {
    const offset = timeOfDay - now;
    const jump = offset - (this.#offsetMilliseconds ?? offset);
    this.#offsetMilliseconds = offset;
    if (jump > MAXIMUM_DRIFT_MILLISECONDS) this.#suspendedMilliseconds += jump;
    return instant(now + this.#suspendedMilliseconds);
  }
}
