import { type Instant, instant } from "../shared/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Spaces events out to a rate, with a small burst after a pause. */
export class RateLimit {
  readonly #interval: number;
  readonly #burst: number;
  /** The theoretical arrival time of the generic cell rate algorithm. */
  #next = -Infinity;

  /**
   * @param perSecond How many events a second.
   * @param burst How many may come at once after a pause.
   */
  constructor(perSecond: number, burst: number) {
    this.#interval = MILLISECONDS_PER_SECOND / perSecond;
    this.#burst = burst;
  }

  /**
   * Tells when the next event may come.
   * @param now The present time.
   * @returns The present time, or a later one.
   */
  allowedAt(now: Instant): Instant {
    const earliest = this.#next - (this.#burst - 1) * this.#interval;
    return instant(Math.max(now, earliest));
  }

  /**
   * Counts an event.
   * @param now The present time.
   */
  take(now: Instant): void {
    this.#next = Math.max(now, this.#next) + this.#interval;
  }
}
