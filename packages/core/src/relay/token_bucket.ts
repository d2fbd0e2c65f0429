import { elapsed, type Instant } from "../shared/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** How a token bucket fills. */
export interface BucketLimit {
  /** Tokens per second. */
  readonly rate: number;
  /** The most tokens that it holds. */
  readonly capacity: number;
}

/**
 * A token bucket whose limit may change at any time. Its level falls below zero
 * when more is taken than it holds.
 */
export class TokenBucket {
  #level: number;
  #filledAt: Instant;

  /**
   * @param now The present time, from which on tokens accrue.
   * @param level The tokens that it holds at first.
   */
  constructor(now: Instant, level: number) {
    this.#level = level;
    this.#filledAt = now;
  }

  /**
   * Returns how many tokens it holds.
   * @param now The present time.
   * @param limit The limit that is in force since the last call.
   * @returns The tokens; negative after more was taken.
   */
  level(now: Instant, { rate, capacity }: BucketLimit): number {
    const refill = rate * elapsed(this.#filledAt, now) /
      MILLISECONDS_PER_SECOND;
    this.#level = Math.min(capacity, this.#level + refill);
    this.#filledAt = now;
    return this.#level;
  }

  /**
   * Takes tokens, or puts them back.
   * @param amount The tokens; negative to put them back.
   */
  take(amount: number): void {
    this.#level -= amount;
  }

  /**
   * Raises the level if it is lower.
   * @param level The tokens that it holds at least from now on.
   */
  raiseTo(level: number): void {
    this.#level = Math.max(this.#level, level);
  }
}

/**
 * Returns the time in which tokens accrue.
 * @param tokens How many.
 * @param rate Tokens per second.
 * @returns The time in milliseconds; infinite at a rate of zero.
 */
export function accrualMilliseconds(tokens: number, rate: number): number {
  if (tokens <= 0) return 0;
  return tokens * MILLISECONDS_PER_SECOND / rate;
}
