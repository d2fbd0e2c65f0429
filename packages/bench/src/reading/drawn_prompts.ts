import { type ArrivingPrompt, TOKENS_A_MILLISECOND } from "./reading_engine.ts";

/** Prompt tokens of the users' generations, less what engines keep. */
const MEAN_TOKENS = 930;
const MOST_TOKENS = 3_790;
const DURATION_MILLISECONDS = 30_000;

/**
 * Gives random numbers that repeat with their seed.
 * @param seed What they begin with.
 * @returns Gives the next number, from 0 up to, and without, 1.
 */
export function drawFrom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/**
 * Draws prompts that come at random, as many as fill a share of the time in
 * which an engine of normal speed could read.
 * @param share The share, 0 to 1.
 * @param seed What the draw begins with.
 * @returns The prompts of half a minute.
 */
export function drawPrompts(
  share: number,
  seed: number,
): readonly ArrivingPrompt[] {
  const draw = drawFrom(seed);
  const prompts: ArrivingPrompt[] = [];
  const apart = MEAN_TOKENS / (TOKENS_A_MILLISECOND * share);
  for (let at = 0; at < DURATION_MILLISECONDS;) {
    at += -apart * Math.log(1 - draw());
    const tokens = Math.min(MOST_TOKENS, -MEAN_TOKENS * Math.log(1 - draw()));
    prompts.push({ at, tokens: Math.ceil(tokens) });
  }
  return prompts;
}
