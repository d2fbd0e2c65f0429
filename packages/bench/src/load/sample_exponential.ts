import type { SeededRandom } from "@foxtailwind/standins";

/**
 * Samples an exponential distribution.
 * @param random The random number generator.
 * @param mean The mean of the distribution, in any unit.
 * @returns The sample, in the unit of the mean.
 */
export function sampleExponential(random: SeededRandom, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}
