/** A step of an engine of normal speed that reads nothing: the users' sheet. */
const STEP_MILLISECONDS = 10.5;
/** Prompt tokens that it reads in a millisecond: the users' sheet. */
export const TOKENS_A_MILLISECOND = 19.2;
/** The most prompt tokens of a step, by the settings of the users' engines. */
const TOKENS_A_STEP = 2_048;
/** Tokens that an event of a stream holds: the users' sheet. */
const EVENT_TOKENS = 3;

/** A prompt as it comes to an engine's owner. */
export interface ArrivingPrompt {
  /** In milliseconds. */
  readonly at: number;
  readonly tokens: number;
}

/** What became of the prompts, and of a stream that ran all the while. */
export interface ReadingRun {
  /** From each prompt's arrival to its first token, in milliseconds. */
  readonly waits: readonly number[];
  /** Between two events of the stream, in milliseconds. */
  readonly pauses: readonly number[];
}

/** Decides when an engine gets the prompts that have come. */
export abstract class PromptGate {
  /**
   * Takes a prompt that has come.
   * @param prompt The prompt.
   */
  abstract add(prompt: ArrivingPrompt): void;

  /**
   * Gives the prompts that the engine gets now.
   * @param now The present time, in milliseconds.
   * @returns The prompts.
   */
  abstract take(now: number): readonly ArrivingPrompt[];
}

/**
 * Runs one engine, which reads prompts in pieces between the tokens of a
 * stream, until it has read all.
 * @param prompts The prompts, by their arrival.
 * @param gate Decides when the engine gets them.
 * @param speed How many times slower than normal the engine is.
 * @returns What became of them.
 */
export function runEngine(
  prompts: readonly ArrivingPrompt[],
  gate: PromptGate,
  speed = 1,
): ReadingRun {
  const engine = new ReadingEngine(speed);
  const coming = [...prompts];
  while (engine.waits.length < prompts.length) {
    while (coming[0] !== undefined && coming[0].at <= engine.now) {
      gate.add(coming[0]);
      coming.shift();
    }
    engine.give(gate.take(engine.now));
    engine.step();
  }
  return engine;
}

/** An engine that runs one stream and reads prompts, as a function of time. */
class ReadingEngine implements ReadingRun {
  readonly waits: number[] = [];
  readonly pauses: number[] = [];
  /** Tokens that are left of each prompt, in the order of their coming. */
  readonly #unread = new Map<ArrivingPrompt, number>();
  readonly #speed: number;
  #now = 0;
  #streamTokens = 0;
  #eventAt = 0;

  constructor(speed: number) {
    this.#speed = speed;
  }

  /** The present time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Takes prompts that it is to read. */
  give(prompts: readonly ArrivingPrompt[]): void {
    for (const prompt of prompts) this.#unread.set(prompt, prompt.tokens);
  }

  /** Reads pieces of prompts, and generates a token of what runs. */
  step(): void {
    const { tokens, ended } = this.#read();
    this.#now += this.#speed *
      (STEP_MILLISECONDS + tokens / TOKENS_A_MILLISECOND);
    for (const prompt of ended) this.waits.push(this.#now - prompt.at);
    this.#streamTokens += 1;
    if (this.#streamTokens % EVENT_TOKENS > 0) return;
    this.pauses.push(this.#now - this.#eventAt);
    this.#eventAt = this.#now;
  }

  /** Reads what fits in a step; gives its tokens, and the prompts it ends. */
  #read(): { readonly tokens: number; readonly ended: ArrivingPrompt[] } {
    const ended: ArrivingPrompt[] = [];
    let tokens = 0;
    for (const [prompt, left] of this.#unread) {
      const piece = Math.min(TOKENS_A_STEP - tokens, left);
      tokens += piece;
      this.#unread.set(prompt, left - piece);
      if (piece === left) ended.push(prompt);
      if (tokens === TOKENS_A_STEP) break;
    }
    for (const prompt of ended) this.#unread.delete(prompt);
    return { tokens, ended };
  }
}
