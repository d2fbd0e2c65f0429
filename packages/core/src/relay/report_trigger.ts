import { elapsed, type Instant, later, milliseconds } from "../shared/mod.ts";

/**
 * Delay before a report is read after a conflict: reports lag by some 100 ms.
 */
export const REPORT_DELAY = milliseconds(250);
/**
 * Misses within this time of the last one trigger no further report, since many
 * requests may miss at once.
 */
const MISS_REPORT_INTERVAL = milliseconds(1_000);
/**
 * The number of consecutive conflicts from which the order count must be wrong.
 */
const CONFLICTS_BEFORE_REPORT = 2;

/**
 * Decides when an engine's owner no longer trusts its own state and asks the
 * engine for a report.
 */
export class ReportTrigger {
  #consecutiveConflicts = 0;
  #lastMissAt: Instant | undefined;
  #dueAt: Instant | undefined;

  /**
   * The time before which a report may lack the latest orders; `undefined` if
   * no report is due.
   */
  get dueAt(): Instant | undefined {
    return this.#dueAt;
  }

  /**
   * Schedules a report.
   * @param now The present time.
   */
  schedule(now: Instant): void {
    this.#dueAt = later(now, REPORT_DELAY);
  }

  /** Records that an answer or a report agreed with the known state. */
  recordAgreement(): void {
    this.#consecutiveConflicts = 0;
  }

  /**
   * Records a conflict.
   * @returns Whether to ask the engine for a report.
   */
  recordConflict(): boolean {
    this.#consecutiveConflicts += 1;
    return this.#consecutiveConflicts >= CONFLICTS_BEFORE_REPORT;
  }

  /**
   * Records that the engine lacked an adapter that it was known to hold.
   * @param now The present time.
   * @returns Whether to ask the engine for a report.
   */
  recordMiss(now: Instant): boolean {
    const previous = this.#lastMissAt;
    if (
      previous !== undefined && elapsed(previous, now) < MISS_REPORT_INTERVAL
    ) {
      return false;
    }
    this.#lastMissAt = now;
    return true;
  }
}
