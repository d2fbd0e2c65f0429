import fc from "fast-check";
import { soakStepArbitrary } from "./soak_step.ts";
import type { SoakCounts } from "./soak_requests.ts";
import { SoakWorld } from "./soak_world.ts";

/** How to run a soak. */
export interface AdapterSoakOptions {
  readonly seed: number;
  /** How many steps one sequence has at most. */
  readonly steps: number;
  /** How many sequences are drawn. */
  readonly runs?: number;
}

const DEFAULT_RUNS = 20;

/**
 * Drives the adapter decisions through drawn sequences of requests, failing
 * loads, restarts, late reports, cancels, version changes and changes of
 * targets. A broken invariant throws, with the shortest sequence found.
 * @param options How to run it.
 * @returns What happened, over all sequences.
 */
export function runAdapterSoak(options: AdapterSoakOptions): SoakCounts {
  const { seed, steps, runs = DEFAULT_RUNS } = options;
  const total = new SoakWorld().counts;
  const sequences = fc.array(soakStepArbitrary, {
    minLength: Math.ceil(steps / 2),
    maxLength: steps,
  });
  fc.assert(
    fc.property(sequences, (drawn) => {
      const world = new SoakWorld();
      for (const step of drawn) world.step(step);
      world.settle();
      addCounts(total, world.counts);
    }),
    { seed, numRuns: runs, endOnFailure: false },
  );
  return total;
}

function addCounts(total: SoakCounts, counts: SoakCounts): void {
  for (const name of Object.keys(counts) as (keyof SoakCounts)[]) {
    total[name] += counts[name];
  }
}
