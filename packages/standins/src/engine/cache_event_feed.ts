import type { CacheEvent } from "@foxtailwind/edges";
import type { SeededRandom } from "../shared/random.ts";
import type { CacheChange } from "./prefix_cache.ts";

interface TimedEvent {
  readonly event: CacheEvent;
  readonly recordedAt: number;
}

/** The delay and the loss of published cache events. */
export interface CacheEventFeedOptions {
  readonly lagMilliseconds: number;
  readonly gapProbability: number;
  readonly random: SeededRandom;
}

const MAXIMUM_KEPT_EVENTS = 4_096;
const MAXIMUM_PAGE_EVENTS = 1_000;

/** Publishes cache events with a delay and with gaps in their sequence. */
export class CacheEventFeed {
  readonly #options: CacheEventFeedOptions;
  #events: TimedEvent[] = [];
  #lastSequence = 0;

  /** @param options The delay and the probability of a gap. */
  constructor(options: CacheEventFeedOptions) {
    this.#options = options;
  }

  /**
   * Records a change. With the probability of a gap it only takes a sequence
   * number and is not published.
   * @param change The change of the prefix cache.
   * @param now A monotonic clock reading in milliseconds.
   */
  record(change: CacheChange, now: number): void {
    this.#lastSequence += 1;
    const { gapProbability, random } = this.#options;
    if (random.happens(gapProbability)) return;
    const event = { ...change, sequence: this.#lastSequence };
    this.#events.push({ event, recordedAt: now });
    if (this.#events.length > 2 * MAXIMUM_KEPT_EVENTS) {
      this.#events = this.#events.slice(-MAXIMUM_KEPT_EVENTS);
    }
  }

  /**
   * Reads the events that are older than the delay, one page at most.
   * @param after The last sequence number that the reader has.
   * @param now A reading of the same clock.
   * @returns The events with higher sequence numbers, oldest first.
   */
  read(after: number, now: number): readonly CacheEvent[] {
    const latestVisible = now - this.#options.lagMilliseconds;
    return this.#events
      .filter(({ event, recordedAt }) =>
        event.sequence > after && recordedAt <= latestVisible
      )
      .slice(0, MAXIMUM_PAGE_EVENTS)
      .map(({ event }) => event);
  }
}
