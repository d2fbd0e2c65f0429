import { logOffset } from "@foxtailwind/core";
import type { LogPage, LogRecord } from "@foxtailwind/edges";
import type { SeededRandom } from "@foxtailwind/standins";
import type { Timeline } from "./timeline.ts";

/** How an append ended for its caller. */
export type AppendOutcome = "appended" | "not_run" | "unknown";

const QUICK_MILLISECONDS = 15;
const LATE_MILLISECONDS = 4_000;
const TIMEOUT_MILLISECONDS = 800;
const PAGE_RECORDS = 50;

/** What goes wrong at a log. */
export interface VirtualLogFaults {
  readonly loseAnswers: number;
  readonly lateAppends: number;
}

/** A log in virtual time whose answers are late or lost after their effect. */
export class VirtualLog {
  readonly #timeline: Timeline;
  readonly #random: SeededRandom;
  #faults: VirtualLogFaults;
  readonly #records: LogRecord[] = [];
  readonly #retained: number;
  #outages = 0;

  constructor(
    timeline: Timeline,
    options: {
      readonly random: SeededRandom;
      readonly faults: VirtualLogFaults;
      readonly retained: number;
    },
  ) {
    this.#timeline = timeline;
    this.#random = options.random;
    this.#faults = options.faults;
    this.#retained = options.retained;
  }

  /** Ends all chance faults. */
  calm(): void {
    this.#faults = { loseAnswers: 0, lateAppends: 0 };
  }

  /** Starts an outage. */
  beginOutage(): void {
    this.#outages += 1;
  }

  /** Ends an outage. */
  endOutage(): void {
    this.#outages -= 1;
  }

  /**
   * Appends a record, now or late, or in an outage perhaps not at all.
   * @param data The record's text.
   * @param options How much later it arrives, and what receives the outcome.
   */
  append(
    data: string,
    options: {
      readonly delay: number;
      readonly answered: (outcome: AppendOutcome) => void;
    },
  ): void {
    const isLate = this.#random.happens(this.#faults.lateAppends);
    const longest = isLate ? LATE_MILLISECONDS : QUICK_MILLISECONDS;
    const delay = options.delay + this.#random.next() * longest;
    let isAnswered = false;
    const answer = (outcome: AppendOutcome): void => {
      if (isAnswered) return;
      isAnswered = true;
      options.answered(outcome);
    };
    this.#timeline.after(TIMEOUT_MILLISECONDS, () => {
      answer("unknown");
    });
    this.#timeline.after(delay, () => {
      if (this.#outages > 0) {
        this.#timeline.after(1, () => {
          answer(this.#random.happens(0.5) ? "not_run" : "unknown");
        });
        return;
      }
      this.#records.push({ offset: logOffset(this.#records.length), data });
      if (this.#random.happens(this.#faults.loseAnswers)) return;
      this.#timeline.after(this.#random.next() * QUICK_MILLISECONDS, () => {
        answer("appended");
      });
    });
  }

  /**
   * Reads the next records.
   * @param from The first offset wanted.
   * @param answered Receives the page, or nothing where the read fails.
   */
  read(from: number, answered: (page: LogPage | undefined) => void): void {
    const isSlow = this.#random.happens(this.#faults.loseAnswers / 4);
    const longest = isSlow ? TIMEOUT_MILLISECONDS * 2 : QUICK_MILLISECONDS;
    this.#timeline.after(this.#random.next() * QUICK_MILLISECONDS, () => {
      const page = this.#outages > 0 ? undefined : this.#page(from);
      this.#timeline.after(this.#random.next() * longest, () => {
        answered(page);
      });
    });
  }

  #page(from: number): LogPage {
    const tail = logOffset(this.#records.length);
    const firstKept = Math.max(0, tail - this.#retained);
    const first = Math.max(from, firstKept);
    const records = this.#records.slice(first, first + PAGE_RECORDS);
    return { records, tail, firstKept: logOffset(firstKept) };
  }
}
