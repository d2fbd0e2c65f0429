import type { SeededRandom } from "@foxtailwind/standins";

/**
 * Draws from an exponential distribution.
 * @param random The source.
 * @param mean The distribution's mean, in any unit.
 * @returns The value, in the same unit.
 */
export function exponential(random: SeededRandom, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}
