import { type Instant, SuspensionDetector } from "@foxtailwind/core";
import { SteadyClock } from "./steady_clock.ts";

/** A monotonic clock that also counts the time for which a VM is suspended. */
export class SuspensionAwareClock extends SteadyClock {
  readonly #clock: SteadyClock;
  readonly #timeOfDay: () => number;
  readonly #detector = new SuspensionDetector();

  /**
   * @param clock The monotonic clock, which stands still during a suspension.
   * @param timeOfDay Returns the time of day in Unix milliseconds.
   */
  constructor(clock: SteadyClock, timeOfDay: () => number = Date.now) {
    super();
    this.#clock = clock;
    this.#timeOfDay = timeOfDay;
  }

  override now(): Instant {
    return this.#detector.read(this.#clock.now(), this.#timeOfDay());
  }
}
