/** What one step of an engine works on. */
export interface StepWork {
  readonly sequences: number;
  readonly prefillTokens: number;
  readonly distinctAdapters: number;
}

const STEP_BASE_MILLISECONDS = 18;
const SEQUENCE_MILLISECONDS = 0.35;
const PREFILL_TOKEN_MILLISECONDS = 0.12;
const ADAPTER_MILLISECONDS = 0.15;

/** How many prompt tokens a step takes in at most. */
export const PREFILL_TOKENS_A_STEP = 256;

/**
 * Gives the time of one step of continuous batching: a fixed part, and parts
 * that grow with the batch, its uncached prompt tokens and its adapters.
 * @param work What the step works on.
 * @param speed The engine's speed relative to the reference engine.
 * @returns Milliseconds.
 */
export function stepMilliseconds(work: StepWork, speed: number): number {
  const reference = STEP_BASE_MILLISECONDS +
    SEQUENCE_MILLISECONDS * work.sequences +
    PREFILL_TOKEN_MILLISECONDS * work.prefillTokens +
    ADAPTER_MILLISECONDS * work.distinctAdapters;
  return reference / speed;
}
