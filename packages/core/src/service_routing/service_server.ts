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
const WARM_UP = seconds(5);
const WARM_UP_START_SHARE = 0.1;
const FAILURE_RATE_WEIGHT = 0.1;

/** How an attempt at one server ended. */
export interface ServerSample extends LoadSample {
  readonly failed: boolean;
}

/** One server of a service, as this node has come to know it. */
export class ServiceServer {
  readonly id: BackendServerId;
  readonly failureDomain: FailureDomainId;
  readonly #limit: ConcurrencyLimit;
  readonly #latency = new DecayedLatency(LATENCY_TIME_CONSTANT);
  /** Starts of the attempts in flight, oldest first. */
  readonly #starts = new Map<string, Instant>();
  #warmSince: Instant;
  #leaving = false;
  #ejectedUntil: Instant | undefined;
  #ejections = 0;
  #consecutiveFailures = 0;
  #failureRate = 0;

  /**
   * @param id The server.
   * @param failureDomain Where it is.
   * @param parts Its limit, and when it became known.
   */
  constructor(
    id: BackendServerId,
    failureDomain: FailureDomainId,
    parts: { readonly limit: ConcurrencyLimit; readonly now: Instant },
  ) {
    this.id = id;
    this.failureDomain = failureDomain;
    this.#limit = parts.limit;
    this.#warmSince = parts.now;
  }

  /** Whether it wants no new work; once true it stays so. */
  get leaving(): boolean {
    return this.#leaving;
  }

  /** How many attempts it has from this node. */
  get inFlight(): number {
    return this.#starts.size;
  }

  /** How many attempts it may have at once. */
  get limit(): number {
    return this.#limit.value;
  }

  /** Failures since the last success. */
  get consecutiveFailures(): number {
    return this.#consecutiveFailures;
  }

  /** The share of recent attempts that failed. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** How often it has been ejected without a full recovery. */
  get ejections(): number {
    return this.#ejections;
  }

  /** When its ejection ends, while it is ejected. */
  get ejectedUntil(): Instant | undefined {
    return this.#ejectedUntil;
  }

  /** Learns that the server is leaving. */
  leave(): void {
    this.#leaving = true;
  }

  /**
   * Keeps work away for a time.
   * @param until When to try it again.
   */
  eject(until: Instant): void {
    this.#ejectedUntil = until;
    this.#ejections += 1;
    this.#consecutiveFailures = 0;
    this.#failureRate = 0;
  }

  /**
   * Ends an ejection whose time is over; the server warms up again.
   * @param now The present time.
   */
  readmit(now: Instant): void {
    if (this.#ejectedUntil === undefined || this.#ejectedUntil > now) return;
    this.#ejectedUntil = undefined;
    this.#warmSince = now;
  }

  /** Ends an ejection at once, where too few servers are left. */
  readmitAtOnce(): void {
    this.#ejectedUntil = undefined;
  }

  /**
   * Takes an attempt.
   * @param now The present time.
   * @param key Names the attempt.
   */
  begin(now: Instant, key: string): void {
    assertInvariant(
      !this.#leaving,
      "leaving_server_gets_no_new_work",
      () => `Server ${this.id} is leaving.`,
    );
    this.#starts.set(key, now);
  }

  /**
   * Ends an attempt without judging the server, as when it was given up.
   * @param now The present time.
   * @param key Names the attempt.
   */
  release(now: Instant, key: string): void {
    const start = this.#starts.get(key);
    this.#starts.delete(key);
    if (start === undefined) return;
    const lasted = elapsed(start, now);
    if (lasted > (this.#latency.read(now) ?? 0)) this.#latency.add(now, lasted);
  }

  /**
   * Ends an attempt and learns from it. A failure counts as slow as the
   * target, so that a server gains nothing by failing fast.
   * @param now The present time.
   * @param key Names the attempt.
   * @param sample What it told.
   */
  end(now: Instant, key: string, sample: ServerSample): void {
    this.#starts.delete(key);
    const weight = FAILURE_RATE_WEIGHT;
    this.#failureRate = this.#failureRate * (1 - weight) +
      (sample.failed ? weight : 0);
    if (sample.failed) {
      this.#consecutiveFailures += 1;
      const counted = Math.max(sample.latency, sample.target);
      this.#latency.add(now, milliseconds(counted));
      if (sample.overloaded) this.#limit.update(sample);
      return;
    }
    this.#consecutiveFailures = 0;
    if (this.#failureRate < weight) this.#ejections = 0;
    this.#latency.add(now, sample.latency);
    this.#limit.update(sample);
  }

  /**
   * Tells whether the server may get an attempt now.
   * @param now The present time.
   * @returns Whether it stays, is not ejected and has a place free.
   */
  isAvailable(now: Instant): boolean {
    return this.isEligible(now) && this.inFlight < this.limit;
  }

  /**
   * Tells whether the server may get work at all.
   * @param now The present time.
   * @returns Whether it stays and is not ejected.
   */
  isEligible(now: Instant): boolean {
    return !this.#leaving &&
      (this.#ejectedUntil === undefined || this.#ejectedUntil <= now);
  }

  /**
   * Estimates what another call would cost here: the calls in flight times
   * the decayed latency, dearer while the server warms up.
   * @param now The present time.
   * @param unknownLatency Assumed before the first answer.
   * @returns The cost, in milliseconds of expected wait.
   */
  cost(now: Instant, unknownLatency: Duration): number {
    const known = this.#latency.read(now) ?? unknownLatency;
    const latency = Math.max(known, this.#oldestAge(now));
    return (this.inFlight + 1) * latency / this.#warmth(now);
  }

  #oldestAge(now: Instant): number {
    for (const start of this.#starts.values()) return elapsed(start, now);
    return 0;
  }

  #warmth(now: Instant): number {
    const share = elapsed(this.#warmSince, now) / WARM_UP;
    return Math.min(1, Math.max(WARM_UP_START_SHARE, share));
  }
}

/**
 * Tells when an ejection ends.
 * @param now The present time.
 * @param base How long the first one lasts.
 * @param times How often the server has been ejected before.
 * @returns The end; each next one lasts longer, up to a bound.
 */
export function ejectionEnd(
  now: Instant,
  base: Duration,
  times: number,
): Instant {
  const longest = 6;
  return later(now, milliseconds(base * Math.min(longest, times + 1)));
}
