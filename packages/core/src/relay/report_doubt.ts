import { elapsed, type Instant, later, milliseconds } from "../shared/mod.ts";

/** Reads after a conflict wait so long: reports lag by some 100 ms. */
export const REPORT_LAG = milliseconds(250);
/** Misses within it ask for one report: they come from many requests. */
const MISS_PAUSE = milliseconds(1_000);
/** Conflicts in a row after which the count of orders must be wrong. */
const CONFLICTS_TO_REPORT = 2;

/** When an engine's owner trusts what it knows no more, and asks the engine. */
export class ReportDoubt {
  #conflicts = 0;
  #missedAt: Instant | undefined;
  #askFrom: Instant | undefined;

  /** Before it, a report may not have what was ordered last; if one is due. */
  get askFrom(): Instant | undefined {
    return this.#askFrom;
  }

  /**
   * Takes note that a report is to be asked for.
   * @param now The present time.
   */
  ask(now: Instant): void {
    this.#askFrom = later(now, REPORT_LAG);
  }

  /** Takes note that an answer or a report agreed with what was known. */
  agreed(): void {
    this.#conflicts = 0;
  }

  /**
   * Takes note of a conflict.
   * @returns Whether the engine is to be asked.
   */
  conflicted(): boolean {
    this.#conflicts += 1;
    return this.#conflicts >= CONFLICTS_TO_REPORT;
  }

  /**
   * Takes note that the engine lacked what it was known to hold.
   * @param now The present time.
   * @returns Whether the engine is to be asked.
   */
  missed(now: Instant): boolean {
    const askedAt = this.#missedAt;
    if (askedAt !== undefined && elapsed(askedAt, now) < MISS_PAUSE) {
      return false;
    }
    this.#missedAt = now;
    return true;
  }
}
