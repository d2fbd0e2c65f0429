/**
 * One engine as small functions of time: it reads prompts in pieces between the
 * tokens of what runs there.
 * @module
 */
/** How an engine of normal speed works, by the users' sheets. */
const STEP_MILLISECONDS = 10.5;
/** Prompt tokens that it reads in a millisecond. */
export const TOKENS_A_MILLISECOND = 19.2;
/** The most prompt tokens that are read between two tokens of what runs. */
const TOKENS_A_STEP = 2_048;
/** Tokens that an event of a stream holds. */
const EVENT_TOKENS = 3;

/** A prompt as it comes to an engine. */
export interface ArrivingPrompt {
  readonly at: number;
  readonly tokens: number;
}

/** What became of one prompt, and of a stream that ran all the while. */
export interface ReadingRun {
  /** From a prompt's arrival at its owner to its first token. */
  readonly waits: readonly number[];
  /** Times between two events of the stream, in milliseconds. */
  readonly pauses: readonly number[];
}

/** Decides which prompts an engine is given. */
export interface PromptGate {
  /** Takes a prompt that has come. */
  readonly add: (index: number, prompt: ArrivingPrompt) => void;
  /** Gives the prompts that the engine gets now. */
  readonly take: (now: number) => readonly number[];
}

/**
 * Runs one engine, which reads prompts in pieces between the tokens of a
 * stream.
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
  const waits: number[] = [];
  const pauses: number[] = [];
  const unread = new Map<number, number>();
  let now = 0;
  let arrived = 0;
  let tokens = 0;
  let eventAt = 0;
  const last = prompts.at(-1)?.at ?? 0;
  while (now < last || waits.length < prompts.length) {
    for (; arrived < prompts.length; arrived += 1) {
      const prompt = prompts[arrived];
      if (prompt === undefined || prompt.at > now) break;
      gate.add(arrived, prompt);
    }
    for (const index of gate.take(now)) {
      unread.set(index, prompts[index]?.tokens ?? 0);
    }
    let room = TOKENS_A_STEP;
    const ended: number[] = [];
    for (const [index, left] of unread) {
      const piece = Math.min(room, left);
      room -= piece;
      if (left > piece) unread.set(index, left - piece);
      else ended.push(index);
      if (room === 0) break;
    }
    const read = TOKENS_A_STEP - room;
    now += speed * (STEP_MILLISECONDS + read / TOKENS_A_MILLISECOND);
    for (const index of ended) {
      unread.delete(index);
      waits.push(now - (prompts[index]?.at ?? 0));
    }
    tokens += 1;
    if (tokens % EVENT_TOKENS > 0) continue;
    pauses.push(now - eventAt);
    eventAt = now;
  }
  return { waits, pauses };
}
