import { type Duration, milliseconds } from "../shared/mod.ts";

/**
 * Prior for the milliseconds per token: according to the users' specifications,
 * engines take 0.026 to 0.068.
 */
const PRIOR_TOKEN_MILLISECONDS = 0.05;
/**
 * Prior for the milliseconds until the first event of an empty prompt: the
 * fastest tenth of first events on a test day took 41 at most.
 */
const PRIOR_START_MILLISECONDS = 40;
/** A prompt of about the users' mean size, in tokens, for the prior. */
const PRIOR_PROMPT_TOKENS = 1_000;
/**
 * The number of answers that the prior counts for: enough that a few answers of
 * one size don't dominate, based on generated runs.
 */
const PRIOR_WEIGHT = 4;
/**
 * The factor by which each answer reduces the weight of earlier ones: a memory
 * of about 100 answers.
 */
const DECAY_FACTOR = 0.99;
/**
 * An answer that came later than expected counts as at most this many
 * milliseconds late, since the rest was most likely queueing; based on
 * generated runs.
 */
const MAXIMUM_EXCESS_MILLISECONDS = 20;
/**
 * Bounds of the estimate in milliseconds per token: well below the users'
 * fastest engine and above their slowest.
 */
const MINIMUM_TOKEN_MILLISECONDS = 0.01;
const MAXIMUM_TOKEN_MILLISECONDS = 0.12;

/** Sums of a linear regression of times over tokens. */
interface RegressionSums {
  readonly weight: number;
  readonly tokens: number;
  readonly times: number;
  readonly squares: number;
  readonly products: number;
}

/** Two answers that count as observed from every engine and don't decay. */
const PRIOR = [0, 2 * PRIOR_PROMPT_TOKENS]
  .map((tokens) =>
    sumsOf(tokens, PRIOR_START_MILLISECONDS + PRIOR_TOKEN_MILLISECONDS * tokens)
  )
  .map((sums) => scale(sums, PRIOR_WEIGHT / 2))
  .reduce(add);

/**
 * Estimates how long one engine takes to prefill prompts, from how much later
 * the first events of long prompts arrive than those of short ones. Engines of
 * one service differ in speed by a third and more, and those of different users
 * by half. Delays that are unrelated to the prompt's size hardly count. The
 * memory is about 100 answers long. After a hundred answers, a third of them
 * delayed, 20 generated runs each of three engines gave 0.93 to 1.33 of the
 * engine's time.
 */
export class PrefillTimeModel {
  #sums = PRIOR;
  #observed: RegressionSums = scale(PRIOR, 0);

  /** Milliseconds that the engine takes to prefill a token. */
  get tokenTime(): number {
    const { weight, tokens, times, squares, products } = this.#sums;
    const spread = weight * squares - tokens ** 2;
    const slope = (weight * products - tokens * times) / spread;
    return Math.min(
      MAXIMUM_TOKEN_MILLISECONDS,
      Math.max(MINIMUM_TOKEN_MILLISECONDS, slope),
    );
  }

  /** Milliseconds until the first event of an empty prompt. */
  get startTime(): number {
    const { weight, tokens, times } = this.#sums;
    return Math.max(0, (times - this.tokenTime * tokens) / weight);
  }

  /**
   * Records an answer.
   * @param tokens The size of its prompt.
   * @param took The time from the send to its first event.
   */
  observe(tokens: number, took: Duration): void {
    const expected = this.startTime + this.estimate(tokens);
    const boundedTime = Math.min(took, expected + MAXIMUM_EXCESS_MILLISECONDS);
    this.#observed = add(
      scale(this.#observed, DECAY_FACTOR),
      sumsOf(tokens, boundedTime),
    );
    this.#sums = add(PRIOR, this.#observed);
  }

  /**
   * Estimates how long the engine takes to prefill a prompt.
   * @param tokens The size of the prompt.
   * @returns The time.
   */
  estimate(tokens: number): Duration {
    return milliseconds(tokens * this.tokenTime);
  }
}

function sumsOf(tokens: number, time: number): RegressionSums {
  return {
    weight: 1,
    tokens,
    times: time,
    squares: tokens ** 2,
    products: tokens * time,
  };
}

function add(one: RegressionSums, other: RegressionSums): RegressionSums {
  return {
    weight: one.weight + other.weight,
    tokens: one.tokens + other.tokens,
    times: one.times + other.times,
    squares: one.squares + other.squares,
    products: one.products + other.products,
  };
}

function scale(sums: RegressionSums, factor: number): RegressionSums {
  return {
    weight: factor * sums.weight,
    tokens: factor * sums.tokens,
    times: factor * sums.times,
    squares: factor * sums.squares,
    products: factor * sums.products,
  };
}
