import { type Duration, type Instant, seconds } from "../shared/mod.ts";

const KEPT = seconds(5);
const MOST_ENTRIES = 256;

interface Entry {
  readonly at: Instant;
  readonly running: number;
}

/**
 * Remembers how many requests this controller had at the engine, so that a
 * report from the past can be compared with the past and not with now.
 */
export class OwnHistory {
  readonly #entries: Entry[] = [];

  /**
   * Takes note of the number at the engine from now on.
   * @param now The present time.
   * @param running How many requests are there.
   */
  record(now: Instant, running: number): void {
    this.#entries.push({ at: now, running });
    if (this.#entries.length > 2 * MOST_ENTRIES) {
      this.#entries.splice(0, this.#entries.length - MOST_ENTRIES);
    }
  }

  /**
   * Works out how much of a report is not this controller's own.
   * @param now The present time.
   * @param report What the engine held, and how long ago.
   * @returns How many requests are of others.
   */
  othersIn(
    now: Instant,
    report: { readonly held: number; readonly age: Duration },
  ): number {
    if (report.age > KEPT) return 0;
    const own = this.#mostSince(now - report.age - UNCERTAIN);
    return Math.max(0, report.held - own);
  }

  #mostSince(from: number): number {
    let most = 0;
    for (let index = this.#entries.length - 1; index >= 0; index -= 1) {
      const entry = this.#entries[index];
      if (entry === undefined) break;
      most = Math.max(most, entry.running);
      if (entry.at <= from) break;
    }
    return most;
  }
}

/** Orders and reports travel for about so long. */
const UNCERTAIN = 100;
