import { isIdle, type Residence } from "./residence.ts";

/** An adapter that may be evicted, and what its absence would cost. */
export interface EvictionCandidate {
  readonly residence: Residence;
  /** Target lengths of waiting that its absence adds a second. */
  readonly loss: number;
}

/**
 * Finds the adapter whose absence costs least, among those that no request
 * uses. Recency only breaks ties.
 * @param residences The engine's residences.
 * @param lossOf Estimates the cost of an adapter's absence.
 * @returns The candidate, or nothing where every slot is in use.
 */
export function chooseVictim(
  residences: Iterable<Residence>,
  lossOf: (residence: Residence) => number,
): EvictionCandidate | undefined {
  let best: EvictionCandidate | undefined;
  for (const residence of residences) {
    if (!isIdle(residence)) continue;
    const loss = lossOf(residence);
    if (best === undefined || isCheaper({ residence, loss }, best)) {
      best = { residence, loss };
    }
  }
  return best;
}

function isCheaper(
  candidate: EvictionCandidate,
  best: EvictionCandidate,
): boolean {
  if (candidate.loss !== best.loss) return candidate.loss < best.loss;
  return candidate.residence.lastUsed < best.residence.lastUsed;
}
