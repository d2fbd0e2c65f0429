import { SeededRandom } from "@foxtailwind/standins";
import { exponential } from "../load/exponential.ts";
import { type ArrivingPrompt, TOKENS_A_MILLISECOND } from "./reading_engine.ts";

/** Mean tokens of a prompt by the users' newest sheet, less what engines keep. */
const MEAN_TOKENS = 930;
/** The longest prompt of that sheet's engines, in tokens. */
const MOST_TOKENS = 3_790;
const DURATION_MILLISECONDS = 30_000;

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
  const random = new SeededRandom(seed);
  const apart = MEAN_TOKENS / (TOKENS_A_MILLISECOND * share);
  const prompts: ArrivingPrompt[] = [];
  for (let at = 0; at < DURATION_MILLISECONDS;) {
    at += exponential(random, apart);
    const tokens = Math.min(MOST_TOKENS, exponential(random, MEAN_TOKENS));
    prompts.push({ at, tokens: Math.ceil(tokens) });
  }
  return prompts;
}
