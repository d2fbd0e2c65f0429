import { isIdle, type Residence } from "./residence.ts";

/** An adapter that may be evicted, and the cost of its absence. */
export interface EvictionCandidate {
  readonly residence: Residence;
  /** Waiting time that its absence adds per second, in multiples of targets. */
  readonly cost: number;
}

/**
 * Finds the idle adapter whose absence costs least. Ties are broken in favor of
 * evicting the least recently used one.
 * @param residences The engine's residences.
 * @param costOf Estimates the cost of an adapter's absence.
 * @returns The candidate, or undefined if no adapter is idle.
 */
export function chooseEvictionCandidate(
  residences: Iterable<Residence>,
  costOf: (residence: Residence) => number,
): EvictionCandidate | undefined {
  let best: EvictionCandidate | undefined;
  for (const residence of residences) {
    if (!isIdle(residence)) continue;
    const cost = costOf(residence);
    if (best === undefined || isCheaper({ residence, cost }, best)) {
      best = { residence, cost };
    }
  }
  return best;
}

function isCheaper(
  candidate: EvictionCandidate,
  best: EvictionCandidate,
): boolean {
  if (candidate.cost !== best.cost) return candidate.cost < best.cost;
  return candidate.residence.lastUsed < best.residence.lastUsed;
}
