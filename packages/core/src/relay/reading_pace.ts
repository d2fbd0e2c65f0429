import { type Duration, milliseconds } from "../shared/mod.ts";

/**
 * Milliseconds a token that are assumed at first: by the users' sheets, engines
 * take 0.026 to 0.068.
 */
const ASSUMED_TOKEN_TIME = 0.05;
/**
 * Milliseconds until the first event of an empty prompt that are assumed: one
 * in ten first events of a played day took 41 at most.
 */
const ASSUMED_START_TIME = 40;
/** A prompt of about the users' mean size, in tokens, for the assumptions. */
const ASSUMED_TOKENS = 1_000;
/**
 * How many answers the assumptions count for: enough that a few answers of one
 * size don't decide, chosen on drawn runs.
 */
const ASSUMED_WEIGHT = 4;
/** What each answer leaves of the weight of those before: a memory of 100. */
const KEPT_WEIGHT = 0.99;
/**
 * An answer that came later than expected counts as so many milliseconds late
 * at most, since what goes beyond was most likely a wait; chosen on drawn runs.
 */
const MOST_LATE = 20;
/**
 * Bounds of what is believed, in milliseconds a token: well below the users'
 * fastest engine and above their slowest.
 */
const LEAST_TOKEN_TIME = 0.01;
const MOST_TOKEN_TIME = 0.12;

/** Sums of a linear fit of times over tokens. */
interface FitSums {
  readonly weight: number;
  readonly tokens: number;
  readonly times: number;
  readonly squares: number;
  readonly products: number;
}

/** Two answers that count as seen of every engine, and are not forgotten. */
const ASSUMED = [0, 2 * ASSUMED_TOKENS]
  .map((tokens) =>
    sumsOf(tokens, ASSUMED_START_TIME + ASSUMED_TOKEN_TIME * tokens)
  )
  .map((sums) => scale(sums, ASSUMED_WEIGHT / 2))
  .reduce(add);

/**
 * Learns how long one engine takes to read prompts, from how much later the
 * first events of long prompts come than those of short ones. Engines of one
 * service differ in speed by a third and more, and those of different users
 * by half. Waits that have nothing to do with a prompt's size hardly count. The
 * memory is about 100 answers long. After a hundred answers, a third of which
 * had waited, 20 drawn runs each of three engines gave 0.93 to 1.33 of the
 * engine's time.
 */
export class ReadingPace {
  #sums = ASSUMED;
  #seen: FitSums = scale(ASSUMED, 0);

  /** Milliseconds in which the engine reads a token. */
  get tokenTime(): number {
    const { weight, tokens, times, squares, products } = this.#sums;
    const spread = weight * squares - tokens ** 2;
    const slope = (weight * products - tokens * times) / spread;
    return Math.min(MOST_TOKEN_TIME, Math.max(LEAST_TOKEN_TIME, slope));
  }

  /** Milliseconds until the first event of an empty prompt. */
  get startTime(): number {
    const { weight, tokens, times } = this.#sums;
    return Math.max(0, (times - this.tokenTime * tokens) / weight);
  }

  /**
   * Takes note of an answer.
   * @param tokens The size of its prompt.
   * @param took From the send to its first event.
   */
  learn(tokens: number, took: Duration): void {
    const expected = this.startTime + this.time(tokens);
    const counted = Math.min(took, expected + MOST_LATE);
    this.#seen = add(scale(this.#seen, KEPT_WEIGHT), sumsOf(tokens, counted));
    this.#sums = add(ASSUMED, this.#seen);
  }

  /**
   * Estimates how long the engine reads a prompt.
   * @param tokens The size of the prompt.
   * @returns The time.
   */
  time(tokens: number): Duration {
    return milliseconds(tokens * this.tokenTime);
  }
}

function sumsOf(tokens: number, time: number): FitSums {
  return {
    weight: 1,
    tokens,
    times: time,
    squares: tokens ** 2,
    products: tokens * time,
  };
}

function add(one: FitSums, other: FitSums): FitSums {
  return {
    weight: one.weight + other.weight,
    tokens: one.tokens + other.tokens,
    times: one.times + other.times,
    squares: one.squares + other.squares,
    products: one.products + other.products,
  };
}

function scale(sums: FitSums, factor: number): FitSums {
  return {
    weight: factor * sums.weight,
    tokens: factor * sums.tokens,
    times: factor * sums.times,
    squares: factor * sums.squares,
    products: factor * sums.products,
  };
}
