import {
  assertInvariant,
  type BackendServerId,
  type Duration,
  elapsed,
  type FailureDomainId,
  type Instant,
  later,
  milliseconds,
  seconds,
} from "../shared/mod.ts";
import type { ConcurrencyLimit, LoadSample } from "./concurrency_limit.ts";
import { DecayedLatency } from "./decayed_latency.ts";

const LATENCY_TIME_CONSTANT = seconds(5);
const WARM_UP_DURATION = seconds(5);
const MINIMUM_WARM_UP_SHARE = 0.1;
const FAILURE_RATE_WEIGHT = 0.1;

/** A load measurement, and whether the attempt failed. */
export interface AttemptSample extends LoadSample {
  readonly failed: boolean;
}

/** This node's view of one server: load, latency, failures and ejection. */
export class ServiceServer {
  readonly id: BackendServerId;
  readonly failureDomain: FailureDomainId;
  readonly #limit: ConcurrencyLimit;
  readonly #latency = new DecayedLatency(LATENCY_TIME_CONSTANT);
  /** Start times of the attempts in flight, oldest first. */
  readonly #attemptStarts = new Map<string, Instant>();
  #warmUpStart: Instant;
  #leaving = false;
  #ejectedUntil: Instant | undefined;
  #ejections = 0;
  #consecutiveFailures = 0;
  #failureRate = 0;

  /**
   * @param id The server.
   * @param failureDomain Its failure domain.
   * @param options Its concurrency limit, and when it became known.
   */
  constructor(
    id: BackendServerId,
    failureDomain: FailureDomainId,
    options: { readonly limit: ConcurrencyLimit; readonly now: Instant },
  ) {
    this.id = id;
    this.failureDomain = failureDomain;
    this.#limit = options.limit;
    this.#warmUpStart = options.now;
  }

  /** Whether the server accepts no new work; never reset once set. */
  get leaving(): boolean {
    return this.#leaving;
  }

  /** Number of attempts in flight from this node. */
  get inFlight(): number {
    return this.#attemptStarts.size;
  }

  /** Maximum number of attempts in flight. */
  get limit(): number {
    return this.#limit.value;
  }

  /** Number of failures since the last success. */
  get consecutiveFailures(): number {
    return this.#consecutiveFailures;
  }

  /** Moving average of the fraction of attempts that failed. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Number of ejections since the last full recovery. */
  get ejections(): number {
    return this.#ejections;
  }

  /** When the current ejection ends, if the server is ejected. */
  get ejectedUntil(): Instant | undefined {
    return this.#ejectedUntil;
  }

  /** Marks the server as leaving. */
  markLeaving(): void {
    this.#leaving = true;
  }

  /**
   * Ejects the server for a time.
   * @param until When the ejection ends.
   */
  eject(until: Instant): void {
    this.#ejectedUntil = until;
    this.#ejections += 1;
    this.#consecutiveFailures = 0;
    this.#failureRate = 0;
  }

  /**
   * Ends an expired ejection; the server warms up again.
   * @param now The present time.
   */
  readmit(now: Instant): void {
    if (this.#ejectedUntil === undefined || this.#ejectedUntil > now) return;
    this.#ejectedUntil = undefined;
    this.#warmUpStart = now;
  }

  /** Ends an ejection early, when too few servers remain eligible. */
  readmitNow(): void {
    this.#ejectedUntil = undefined;
  }

  /**
   * Begins an attempt.
   * @param now The present time.
   * @param key The key of the attempt.
   */
  beginAttempt(now: Instant, key: string): void {
    assertInvariant(
      !this.#leaving,
      "leaving_server_gets_no_new_work",
      () => `Server ${this.id} is leaving.`,
    );
    this.#attemptStarts.set(key, now);
  }

  /**
   * Ends an attempt without counting its result, such as an abandoned one. Its
   * duration still counts if it exceeds the known latency.
   * @param now The present time.
   * @param key The key of the attempt.
   */
  releaseAttempt(now: Instant, key: string): void {
    const start = this.#attemptStarts.get(key);
    this.#attemptStarts.delete(key);
    if (start === undefined) return;
    const duration = elapsed(start, now);
    if (duration > (this.#latency.read(now) ?? 0)) {
      this.#latency.add(now, duration);
    }
  }

  /**
   * Ends an attempt and updates the statistics. A failure counts as at least
   * as slow as the target, so that failing fast does not attract more calls.
   * @param now The present time.
   * @param key The key of the attempt.
   * @param sample The measurement.
   */
  endAttempt(now: Instant, key: string, sample: AttemptSample): void {
    this.#attemptStarts.delete(key);
    const weight = FAILURE_RATE_WEIGHT;
    this.#failureRate = this.#failureRate * (1 - weight) +
      (sample.failed ? weight : 0);
    if (sample.failed) {
      this.#consecutiveFailures += 1;
      const penalizedLatency = Math.max(sample.latency, sample.target);
      this.#latency.add(now, milliseconds(penalizedLatency));
      if (sample.overloaded) this.#limit.update(sample);
      return;
    }
    this.#consecutiveFailures = 0;
    if (this.#failureRate < weight) this.#ejections = 0;
    this.#latency.add(now, sample.latency);
    this.#limit.update(sample);
  }

  /**
   * Checks whether the server can take an attempt now.
   * @param now The present time.
   * @returns Whether it is eligible and below its limit.
   */
  isAvailable(now: Instant): boolean {
    return this.isEligible(now) && this.inFlight < this.limit;
  }

  /**
   * Checks whether the server is eligible for work.
   * @param now The present time.
   * @returns Whether it is neither leaving nor ejected.
   */
  isEligible(now: Instant): boolean {
    return !this.#leaving &&
      (this.#ejectedUntil === undefined || this.#ejectedUntil <= now);
  }

  /**
   * Estimates the cost of another call: the calls in flight times the decayed
   * latency, increased while the server warms up.
   * @param now The present time.
   * @param unknownLatency The latency assumed before the first answer.
   * @returns The cost, in milliseconds of expected wait.
   */
  cost(now: Instant, unknownLatency: Duration): number {
    const known = this.#latency.read(now) ?? unknownLatency;
    const latency = Math.max(known, this.#oldestAttemptAge(now));
    return (this.inFlight + 1) * latency / this.#warmUpShare(now);
  }

  #oldestAttemptAge(now: Instant): number {
    for (const start of this.#attemptStarts.values()) {
      return elapsed(start, now);
    }
    return 0;
  }

  #warmUpShare(now: Instant): number {
    const share = elapsed(this.#warmUpStart, now) / WARM_UP_DURATION;
    return Math.min(1, Math.max(MINIMUM_WARM_UP_SHARE, share));
  }
}

/**
 * Computes when an ejection ends.
 * @param now The present time.
 * @param baseDuration How long the first ejection lasts.
 * @param previousEjections Number of previous ejections.
 * @returns The end; each further ejection lasts longer, up to a maximum.
 */
export function ejectionEnd(
  now: Instant,
  baseDuration: Duration,
  previousEjections: number,
): Instant {
  const maximumMultiple = 6;
  return later(
    now,
    milliseconds(
      baseDuration * Math.min(maximumMultiple, previousEjections + 1),
    ),
  );
}
