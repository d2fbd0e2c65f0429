/**
 * Duration of a step without prefill on an engine of normal speed, from the
 * users' data sheet.
 */
const DECODE_STEP_MILLISECONDS = 10.5;
/**
 * Prefill rate of an engine of normal speed, from the users' data sheet.
 */
export const PREFILL_TOKENS_PER_MILLISECOND = 19.2;
/** Maximum prompt tokens per step in the settings of the users' engines. */
const MAX_PREFILL_TOKENS_PER_STEP = 2_048;
/** Tokens per stream event, from the users' data sheet. */
const TOKENS_PER_EVENT = 3;

/** A prompt that arrives at the owner of an engine. */
export interface ArrivingPrompt {
  /** The arrival time, in milliseconds. */
  readonly arrivedAt: number;
  readonly tokens: number;
}

/** The latencies of the prompts and of a stream that ran concurrently. */
export interface PrefillRun {
  /** The time from each prompt's arrival to its first token, in milliseconds. */
  readonly firstTokenDelays: readonly number[];
  /** The times between consecutive stream events, in milliseconds. */
  readonly pauses: readonly number[];
}

/** Decides when arrived prompts are passed to an engine. */
export abstract class PromptGate {
  /**
   * Adds a prompt that has arrived.
   * @param prompt The prompt to hold until it is passed to the engine.
   */
  abstract add(prompt: ArrivingPrompt): void;

  /**
   * Removes and returns the prompts to pass to the engine now.
   * @param now The present time, in milliseconds.
   * @returns The prompts for the engine.
   */
  abstract take(now: number): readonly ArrivingPrompt[];
}

/**
 * Runs one engine, which interleaves chunked prefill with the tokens of a
 * stream, until it has processed all prompts.
 * @param prompts The prompts in the order of arrival.
 * @param gate Decides when prompts are passed to the engine.
 * @param slowdown How many times slower than normal the engine is.
 * @returns The latencies of the prompts and of the stream.
 */
export function runEngine(
  prompts: readonly ArrivingPrompt[],
  gate: PromptGate,
  slowdown = 1,
): PrefillRun {
  const engine = new PrefillEngine(slowdown);
  const upcoming = [...prompts];
  while (engine.firstTokenDelays.length < prompts.length) {
    while (upcoming[0] !== undefined && upcoming[0].arrivedAt <= engine.now) {
      gate.add(upcoming[0]);
      upcoming.shift();
    }
    engine.enqueue(gate.take(engine.now));
    engine.step();
  }
  return engine;
}

/** A simulated engine that runs one stream and processes prompts. */
class PrefillEngine implements PrefillRun {
  readonly firstTokenDelays: number[] = [];
  readonly pauses: number[] = [];
  /** The tokens left of each prompt, in the order in which they were passed. */
  readonly #remainingTokens = new Map<ArrivingPrompt, number>();
  readonly #slowdown: number;
  #now = 0;
  #streamTokens = 0;
  #lastEventAt = 0;

  constructor(slowdown: number) {
    this.#slowdown = slowdown;
  }

  /** The present time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Adds prompts to process. */
  enqueue(prompts: readonly ArrivingPrompt[]): void {
    for (const prompt of prompts) {
      this.#remainingTokens.set(prompt, prompt.tokens);
    }
  }

  /** Processes prompt chunks and generates a token of the stream. */
  step(): void {
    const { tokens, completed } = this.#prefillChunks();
    this.#now += this.#slowdown *
      (DECODE_STEP_MILLISECONDS + tokens / PREFILL_TOKENS_PER_MILLISECOND);
    for (const prompt of completed) {
      this.firstTokenDelays.push(this.#now - prompt.arrivedAt);
    }
    this.#streamTokens += 1;
    if (this.#streamTokens % TOKENS_PER_EVENT > 0) return;
    this.pauses.push(this.#now - this.#lastEventAt);
    this.#lastEventAt = this.#now;
  }

  /**
   * Processes the prompt tokens that fit in one step. Returns their number and
   * the completed prompts.
   */
  #prefillChunks(): {
    readonly tokens: number;
    readonly completed: ArrivingPrompt[];
  } {
    const completed: ArrivingPrompt[] = [];
    let tokens = 0;
    for (const [prompt, remainingTokens] of this.#remainingTokens) {
      const chunkTokens = Math.min(
        MAX_PREFILL_TOKENS_PER_STEP - tokens,
        remainingTokens,
      );
      tokens += chunkTokens;
      this.#remainingTokens.set(prompt, remainingTokens - chunkTokens);
      if (chunkTokens === remainingTokens) completed.push(prompt);
      if (tokens === MAX_PREFILL_TOKENS_PER_STEP) break;
    }
    for (const prompt of completed) this.#remainingTokens.delete(prompt);
    return { tokens, completed };
  }
}
