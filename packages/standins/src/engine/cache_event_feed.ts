import type { CacheEvent } from "@foxtailwind/edges";
import type { SeededRandom } from "../shared/random.ts";
import type { CacheChange } from "./prefix_cache.ts";

interface TimedEvent {
  readonly event: CacheEvent;
  readonly recordedAt: number;
}

/** How late and how incomplete cache events are. */
export interface CacheEventFeedOptions {
  readonly lagMilliseconds: number;
  readonly gapProbability: number;
  readonly random: SeededRandom;
}

const KEPT_EVENTS = 4_096;
const PAGE_EVENTS = 1_000;

/** Publishes cache events late and with gaps in their sequence. */
export class CacheEventFeed {
  readonly #options: CacheEventFeedOptions;
  #events: TimedEvent[] = [];
  #sequence = 0;

  /** @param options How late and how incomplete. */
  constructor(options: CacheEventFeedOptions) {
    this.#options = options;
  }

  /**
   * Records a change, unless it falls into a gap.
   * @param change The change.
   * @param now Milliseconds of a steady clock.
   */
  record(change: CacheChange, now: number): void {
    this.#sequence += 1;
    const { gapProbability, random } = this.#options;
    if (random.happens(gapProbability)) return;
    const event = { ...change, sequence: this.#sequence };
    this.#events.push({ event, recordedAt: now });
    if (this.#events.length > 2 * KEPT_EVENTS) {
      this.#events = this.#events.slice(-KEPT_EVENTS);
    }
  }

  /**
   * Reads events that are old enough to show.
   * @param after The last sequence known.
   * @param now Milliseconds of the same clock.
   * @returns The events, oldest first.
   */
  read(after: number, now: number): readonly CacheEvent[] {
    const latestShown = now - this.#options.lagMilliseconds;
    return this.#events
      .filter(({ event, recordedAt }) =>
        event.sequence > after && recordedAt <= latestShown
      )
      .slice(0, PAGE_EVENTS)
      .map(({ event }) => event);
  }
}
