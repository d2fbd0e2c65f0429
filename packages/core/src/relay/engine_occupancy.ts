import type { Instant } from "../shared/mod.ts";
import { PROMPT_PACE } from "./request_urgency.ts";

/**
 * The share of an engine's places that is used: above it, its own queue
 * begins to hold requests back, and the next ones wait better elsewhere.
 */
const FULL_SHARE = 0.8;
/**
 * Running requests delay a new one by the square of their number, a quarter
 * of a millisecond each: little while an engine has time to spare, and more
 * than a load elsewhere once it is behind its peers.
 */
const CROWDING = 0.25;

/** What runs on one engine, as its owner has granted it. */
export class EngineOccupancy {
  #running = 0;
  #promptsUntil = 0;

  /** How many requests run. */
  get running(): number {
    return this.#running;
  }

  /**
   * Takes note of a request that begins.
   * @param now The present time.
   * @param promptTokens The tokens that the engine has to read first.
   */
  begin(now: Instant, promptTokens: number): void {
    this.#running += 1;
    this.#promptsUntil = Math.max(now, this.#promptsUntil) +
      promptTokens / PROMPT_PACE;
  }

  /** Takes note of a request that has ended. */
  end(): void {
    this.#running -= 1;
  }

  /**
   * Tells whether the engine should take no more.
   * @param places How many requests it runs at once.
   * @returns Whether it is full.
   */
  isFull(places: number): boolean {
    return this.#running >= places * FULL_SHARE;
  }

  /**
   * Estimates the wait of a further request for its first event.
   * @param now The present time.
   * @returns Milliseconds.
   */
  wait(now: Instant): number {
    const prompts = Math.max(0, this.#promptsUntil - now);
    return Math.round(prompts + CROWDING * this.#running ** 2);
  }
}
