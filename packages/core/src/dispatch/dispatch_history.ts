import { type Duration, type Instant, seconds } from "../shared/mod.ts";

const MAXIMUM_REPORT_AGE = seconds(5);
const MAXIMUM_ENTRIES = 256;

interface Entry {
  readonly at: Instant;
  readonly running: number;
}

/**
 * Records how many requests this controller had at the engine over time. An
 * engine's report is older than the present, and is compared with the number
 * at the time of the report.
 */
export class DispatchHistory {
  readonly #entries: Entry[] = [];

  /**
   * Records a change of the number of requests at the engine.
   * @param now The present time.
   * @param running The new number of requests.
   */
  record(now: Instant, running: number): void {
    this.#entries.push({ at: now, running });
    if (this.#entries.length > 2 * MAXIMUM_ENTRIES) {
      this.#entries.splice(0, this.#entries.length - MAXIMUM_ENTRIES);
    }
  }

  /**
   * Estimates how many requests in a report are not this controller's own.
   * @param now The present time.
   * @param report The number of requests at the engine, and the report's age.
   * @returns The number of requests from others.
   */
  countForeign(
    now: Instant,
    report: { readonly held: number; readonly age: Duration },
  ): number {
    if (report.age > MAXIMUM_REPORT_AGE) return 0;
    const own = this.#maximumRunningSince(
      now - report.age - TRANSIT_MILLISECONDS,
    );
    return Math.max(0, report.held - own);
  }

  #maximumRunningSince(from: number): number {
    let maximum = 0;
    for (let index = this.#entries.length - 1; index >= 0; index -= 1) {
      const entry = this.#entries[index];
      if (entry === undefined) break;
      maximum = Math.max(maximum, entry.running);
      if (entry.at <= from) break;
    }
    return maximum;
  }
}

/** The approximate transit time of orders and reports. */
const TRANSIT_MILLISECONDS = 100;
