import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A source of random numbers that repeats with its seed. */
export type RandomSource = RandomGenerator;

/**
 * Makes a source of random numbers.
 * @param seed The same seed gives the same numbers.
 * @returns The source.
 */
export function randomSource(seed: number): RandomSource {
  return xoroshiro128plus(seed);
}
