import { relayMutants, runRelaySoak } from "@foxtailwind/bench";

/**
 * Seeds in which a mutant is looked for until one notices it: a run shows it
 * only if the case comes up in which the mutant differs, which no seed
 * guarantees at any speed of the machine.
 */
const MUTANT_SEEDS = [2, 3, 4, 5, 6, 7];

/** The timeout of a test that looks for mutants. */
export const MUTANT_TIMEOUT_MILLISECONDS = 240_000;

/**
 * Looks for a mutant until a run notices it.
 * @param name The name of the mutant.
 * @returns Whether a run notices it.
 */
export async function isCaught(name: string): Promise<boolean> {
  const mutant = relayMutants.find((one) => one.name === name);
  if (mutant === undefined) throw new RangeError(`There is no ${name}.`);
  for (const seed of MUTANT_SEEDS) {
    const { made, draw } = mutant;
    const { record } = await runRelaySoak({
      seed,
      made,
      ...(draw === undefined ? {} : { draw }),
    });
    const broken = record.broken.map(({ invariant }) => invariant);
    if (mutant.invariants.some((one) => broken.includes(one))) return true;
  }
  return false;
}
