import { type Duration, milliseconds } from "@foxtailwind/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A range of delays in milliseconds. */
export interface DelayRange {
  readonly minimum: number;
  readonly maximum: number;
}

/**
 * Draws a delay evenly.
 * @param random The generator.
 * @param range The range.
 * @returns The delay.
 */
export function drawDelay(
  random: RandomGenerator,
  { minimum, maximum }: DelayRange,
): Duration {
  return milliseconds(minimum + uniformFloat64(random) * (maximum - minimum));
}
