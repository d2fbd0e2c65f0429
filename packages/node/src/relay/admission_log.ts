import { type Duration, elapsed, type Instant } from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { AdmissionOutcome, AdmissionRecord } from "./admission_record.ts";
import type { RelayMetrics } from "./relay_metrics.ts";

/** The shortest time between two lines about refused requests. */
const LINE_INTERVAL_MILLISECONDS = 1_000;

/** Dependencies of `AdmissionLog`. */
export interface AdmissionLogParts {
  readonly record: AdmissionRecord;
  readonly metrics: Pick<RelayMetrics, "recordAdmission">;
  readonly logger: ComponentLogger;
  readonly clock: SteadyClock;
}

/** Counts requests for places, and logs once a second how many are refused. */
export class AdmissionLog {
  readonly #parts: AdmissionLogParts;
  readonly #refused = { late: 0, no_place: 0, expired: 0 };
  #loggedAt: Instant | undefined;

  /** @param parts The dependencies. */
  constructor(parts: AdmissionLogParts) {
    this.#parts = parts;
  }

  /** Listens to the record from now on. */
  listen(): void {
    this.#parts.record.listen((priority, outcome, waited) => {
      this.#apply(priority, outcome, waited);
    });
  }

  #apply(
    priority: number,
    outcome: AdmissionOutcome,
    waited: Duration,
  ): void {
    this.#parts.metrics.recordAdmission(priority, outcome, waited);
    if (outcome === "granted" || outcome === "withdrawn") return;
    this.#refused[outcome] += 1;
    const now = this.#parts.clock.now();
    const isDue = this.#loggedAt === undefined ||
      elapsed(this.#loggedAt, now) >= LINE_INTERVAL_MILLISECONDS;
    if (isDue) this.#log(now);
  }

  #log(now: Instant): void {
    this.#loggedAt = now;
    const { logger, record } = this.#parts;
    const waiting = [...record.waiting.values()]
      .reduce((sum, count) => sum + count, 0);
    logger.info("Requests for places were refused.", {
      ...this.#refused,
      waiting,
    });
    this.#refused.late = 0;
    this.#refused.no_place = 0;
    this.#refused.expired = 0;
  }
}
