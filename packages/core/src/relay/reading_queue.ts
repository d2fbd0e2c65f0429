import {
  type Duration,
  type Instant,
  instant,
  milliseconds,
} from "../shared/mod.ts";

/**
 * The share of an engine's time that goes to reading prompts while others
 * wait. Engines read prompts in pieces between the tokens of what runs, so that
 * one that reads without a break makes all that runs there late at once. By the
 * users' sheets, events of a running stream come 19 to 41 ms apart where nothing
 * is read, of the 300 to 400 ms that their routes allow; the rest is kept for
 * what was estimated wrong.
 */
const READING_SHARE = 0.8;
/**
 * The next prompt is granted so many milliseconds before the one before is
 * read, so that the engine is not idle while the grant and the request are on
 * their way: two calls of 1 to 3 ms by the users' sheets, and two nodes' work.
 */
const HEAD_START = 10;

/**
 * Prompt tokens that an engine reads between two events of a stream where it
 * reads without a break: by the users' sheets an event holds 2 to 5 tokens, and
 * their engines read 2,048 prompt tokens a token; the geometric middle.
 */
const TOKENS_BETWEEN_EVENTS = 6_500;

/**
 * Tells whether an engine that reads prompts without a break makes what runs
 * there late. Engines that read fast enough, or whose streams may pause for
 * longer, are better given each prompt at once: with breaks that nothing needs,
 * the users' fastest engines served 5 to 12 in 100 requests fewer in time.
 * @param tokenTime Milliseconds in which the engine reads a token.
 * @param longestPause The longest pause between two events that is not late.
 * @returns Whether prompts are to be spaced.
 */
export function needsBreaks(
  tokenTime: number,
  longestPause: Duration,
): boolean {
  return TOKENS_BETWEEN_EVENTS * tokenTime > longestPause;
}

/** A prompt that waits to be read. */
export interface ReadingTerms {
  /** How long the engine reads it. */
  readonly reading: Duration;
  /** When its first event is wanted. */
  readonly wantedBy: Instant;
  /** Whether the prompts before it have to be read first. */
  readonly needsBreak: boolean;
}

/**
 * Spaces the prompts that one engine reads, where they need it, so that what runs there goes on
 * between them: under bursts of prompts, running streams keep their pace and
 * the prompts wait, in place of all of them being late. Those that can still
 * be in time go first, the one with the least time to spare before the others;
 * then the late ones, in their order. Where prompts fill half of an engine's
 * time, no event is late by a pause in place of 2.0%, and 0.15% of first events
 * in place of none; on an engine 1.3 times slower 1.1% in place of 9.5%, and
 * 3.5% in place of 2.0% (20 drawn half minutes, `npm run bench:reading`).
 */
export class ReadingQueue<Entry> {
  readonly #waiting = new Map<Entry, ReadingTerms>();
  #readUntil = 0;

  /** Who waits. */
  get waiting(): readonly Entry[] {
    return [...this.#waiting.keys()];
  }

  /**
   * Adds a prompt.
   * @param entry Who waits.
   * @param terms What for.
   */
  add(entry: Entry, terms: ReadingTerms): void {
    this.#waiting.set(entry, terms);
  }

  /**
   * Takes a prompt out that nobody waits for any more.
   * @param entry Who waited.
   * @returns Whether it was there.
   */
  delete(entry: Entry): boolean {
    return this.#waiting.delete(entry);
  }

  /**
   * Takes the prompt that may be read next.
   * @param now The present time.
   * @returns Who waited for it, or nothing where the engine should not read yet
   * or nobody waits.
   */
  next(now: Instant): Entry | undefined {
    const at = this.nextAt;
    if (at === undefined || at > now) return undefined;
    const first = this.#withoutBreak ?? this.#mostUrgent(now);
    if (first === undefined) return undefined;
    const [entry, { reading, needsBreak }] = first;
    this.#waiting.delete(entry);
    const share = needsBreak ? READING_SHARE : 1;
    this.#readUntil = Math.max(now, this.#readUntil) + reading / share;
    return entry;
  }

  /** When the next prompt may be read, where one waits. */
  get nextAt(): Instant | undefined {
    if (this.#waiting.size === 0) return undefined;
    return instant(
      this.#withoutBreak === undefined ? this.#readUntil - HEAD_START : 0,
    );
  }

  /**
   * Estimates how long a further prompt waits until it is read.
   * @param now The present time.
   * @returns The time.
   */
  wait(now: Instant): Duration {
    let queued = 0;
    for (const { reading } of this.#waiting.values()) queued += reading;
    const ahead = Math.max(0, this.#readUntil - now);
    return milliseconds(ahead + queued / READING_SHARE);
  }

  get #withoutBreak(): [Entry, ReadingTerms] | undefined {
    return [...this.#waiting].find(([, { needsBreak }]) => !needsBreak);
  }

  #mostUrgent(now: Instant): [Entry, ReadingTerms] | undefined {
    let first: [Entry, ReadingTerms] | undefined;
    let least = Infinity;
    for (const [entry, terms] of this.#waiting) {
      const spare = terms.wantedBy - now - terms.reading;
      // The late ones stay in the order in which they came.
      const rank = spare >= 0 ? spare : Number.MAX_VALUE;
      if (first !== undefined && rank >= least) continue;
      first = [entry, terms];
      least = rank;
    }
    return first;
  }
}
