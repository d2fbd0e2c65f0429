import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A seeded pseudo-random number generator. */
export type RandomSource = RandomGenerator;

/**
 * Creates a pseudo-random number generator.
 * @param seed The seed; equal seeds produce equal sequences.
 * @returns The generator.
 */
export function randomSource(seed: number): RandomSource {
  return xoroshiro128plus(seed);
}
