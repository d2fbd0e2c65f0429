import { SeededRandom } from "@foxtailwind/standins";
import { sampleExponential } from "../load/sample_exponential.ts";
import {
  type ArrivingPrompt,
  PREFILL_TOKENS_PER_MILLISECOND,
} from "./reading_engine.ts";

/**
 * Mean prompt tokens to prefill: the mean of the users' newest data sheet
 * minus the tokens that engines already hold.
 */
const MEAN_PREFILL_TOKENS = 930;
/** The longest prompt of the engines in that data sheet, in tokens. */
const MAX_PROMPT_TOKENS = 3_790;
const DURATION_MILLISECONDS = 30_000;

/**
 * Draws prompts with random arrivals whose prefill takes a given share of the
 * time of an engine of normal speed.
 * @param prefillLoad The share of the time, 0 to 1.
 * @param seed The seed of the random source.
 * @returns The prompts that arrive in 30 seconds.
 */
export function drawPrompts(
  prefillLoad: number,
  seed: number,
): readonly ArrivingPrompt[] {
  const random = new SeededRandom(seed);
  const meanInterarrivalMilliseconds = MEAN_PREFILL_TOKENS /
    (PREFILL_TOKENS_PER_MILLISECOND * prefillLoad);
  const prompts: ArrivingPrompt[] = [];
  for (let arrivedAt = 0; arrivedAt < DURATION_MILLISECONDS;) {
    arrivedAt += sampleExponential(random, meanInterarrivalMilliseconds);
    const tokens = Math.min(
      MAX_PROMPT_TOKENS,
      sampleExponential(random, MEAN_PREFILL_TOKENS),
    );
    prompts.push({ arrivedAt, tokens: Math.ceil(tokens) });
  }
  return prompts;
}
