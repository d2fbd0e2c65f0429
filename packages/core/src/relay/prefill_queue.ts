import {
  type Duration,
  type Instant,
  instant,
  milliseconds,
} from "../shared/mod.ts";

/**
 * The share of an engine's time spent on prefill while prompts are queued.
 * Engines prefill prompts in chunks between the tokens of running requests, so
 * prefill without breaks delays all streams on the engine at once. According to
 * the users' specifications, events of a running stream come 19 to 41 ms apart
 * without prefill, while their routes allow 300 to 400 ms; the rest is a margin
 * for wrong estimates.
 */
const PREFILL_SHARE = 0.8;
/**
 * The next prompt is granted this many milliseconds before the previous one is
 * done, so that the engine isn't idle while the grant and the request are in
 * flight: two calls of 1 to 3 ms according to the users' specifications, and
 * processing on two nodes.
 */
const HEAD_START_MILLISECONDS = 10;

/**
 * Prompt tokens that an engine without breaks prefills between two events of a
 * stream: according to the users' specifications an event holds 2 to 5 tokens,
 * and their engines prefill 2,048 prompt tokens per output token; this is the
 * geometric mean.
 */
const PREFILL_TOKENS_BETWEEN_EVENTS = 6_500;

/**
 * Checks whether an engine that prefills prompts without breaks delays its
 * running streams too much. Engines that are fast enough, or whose streams
 * allow longer pauses, should get each prompt at once: with unnecessary breaks,
 * the users' fastest engines served 5 to 12 in 100 requests fewer in time.
 * @param tokenTime Milliseconds in which the engine prefills a token.
 * @param longestPause The longest pause between two events that isn't late.
 * @returns Whether prompts need to be spaced.
 */
export function needsBreaks(
  tokenTime: number,
  longestPause: Duration,
): boolean {
  return PREFILL_TOKENS_BETWEEN_EVENTS * tokenTime > longestPause;
}

/** A prompt queued for prefill. */
export interface PrefillTerms {
  /** How long the engine takes to prefill it. */
  readonly prefillTime: Duration;
  /** When its first event is due. */
  readonly deadline: Instant;
  /** Whether the prefill of earlier prompts has to be finished first. */
  readonly needsBreak: boolean;
}

/**
 * Spaces the prefills on one engine if they need it, so that running streams
 * make progress in between: under bursts of prompts, streams keep their pace
 * and the prompts wait, in place of all streams being late. Prompts that can
 * still meet their deadline go first, by least slack; then the late ones, in
 * order of arrival. When prompts fill half of an engine's time, no event is
 * late by a pause in place of 2.0%, and 0.15% of first events in place of none;
 * on an engine 1.3 times slower 1.1% in place of 9.5%, and 3.5% in place of
 * 2.0% (20 generated half minutes, `npm run bench:reading`).
 */
export class PrefillQueue<Entry> {
  readonly #waiting = new Map<Entry, PrefillTerms>();
  #prefillEndsAt = 0;

  /** The queued entries. */
  get waiting(): readonly Entry[] {
    return [...this.#waiting.keys()];
  }

  /**
   * Adds a prompt.
   * @param entry The entry that waits.
   * @param terms The prompt's terms.
   */
  add(entry: Entry, terms: PrefillTerms): void {
    this.#waiting.set(entry, terms);
  }

  /**
   * Removes a prompt that nobody waits for any longer.
   * @param entry The entry that waited.
   * @returns Whether it was queued.
   */
  delete(entry: Entry): boolean {
    return this.#waiting.delete(entry);
  }

  /**
   * Takes the next prompt that may be prefilled.
   * @param now The present time.
   * @returns Its entry, or `undefined` if the engine shouldn't start another
   * prefill yet or the queue is empty.
   */
  next(now: Instant): Entry | undefined {
    const at = this.nextAt;
    if (at === undefined || at > now) return undefined;
    const first = this.#firstWithoutBreak ?? this.#mostUrgent(now);
    if (first === undefined) return undefined;
    const [entry, { prefillTime: reading, needsBreak }] = first;
    this.#waiting.delete(entry);
    const share = needsBreak ? PREFILL_SHARE : 1;
    this.#prefillEndsAt = Math.max(now, this.#prefillEndsAt) + reading / share;
    return entry;
  }

  /** When the next prompt may be prefilled, if one is queued. */
  get nextAt(): Instant | undefined {
    if (this.#waiting.size === 0) return undefined;
    return instant(
      this.#firstWithoutBreak === undefined
        ? this.#prefillEndsAt - HEAD_START_MILLISECONDS
        : 0,
    );
  }

  /**
   * Estimates how long a further prompt waits for its prefill.
   * @param now The present time.
   * @returns The time.
   */
  wait(now: Instant): Duration {
    let queued = 0;
    for (const { prefillTime: reading } of this.#waiting.values()) {
      queued += reading;
    }
    const ahead = Math.max(0, this.#prefillEndsAt - now);
    return milliseconds(ahead + queued / PREFILL_SHARE);
  }

  get #firstWithoutBreak(): [Entry, PrefillTerms] | undefined {
    return [...this.#waiting].find(([, { needsBreak }]) => !needsBreak);
  }

  #mostUrgent(now: Instant): [Entry, PrefillTerms] | undefined {
    let mostUrgent: [Entry, PrefillTerms] | undefined;
    let lowestRank = Infinity;
    for (const [entry, terms] of this.#waiting) {
      const slack = terms.deadline - now - terms.prefillTime;
      // Late prompts stay in order of arrival.
      const rank = slack >= 0 ? slack : Number.MAX_VALUE;
      if (mostUrgent !== undefined && rank >= lowestRank) continue;
      mostUrgent = [entry, terms];
      lowestRank = rank;
    }
    return mostUrgent;
  }
}
