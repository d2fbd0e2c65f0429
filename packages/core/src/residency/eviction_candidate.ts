import type { Instant } from "../shared/mod.ts";

/** An adapter that is resident and not in use. */
export interface EvictableAdapter {
  readonly lastUsed: Instant;
}

/** An adapter that may be evicted, and the cost of its absence. */
export interface EvictionCandidate<Residence extends EvictableAdapter> {
  readonly residence: Residence;
  /** Waiting time that its absence adds per second, in multiples of targets. */
  readonly cost: number;
}

/**
 * Finds the adapter whose absence costs least. Ties are broken in favor of
 * evicting the least recently used one.
 * @param idle The engine's residences that may be evicted.
 * @param costOf Estimates the cost of an adapter's absence.
 * @returns The candidate, or undefined if no adapter may be evicted.
 */
export function chooseEvictionCandidate<Residence extends EvictableAdapter>(
  idle: Iterable<Residence>,
  costOf: (residence: Residence) => number,
): EvictionCandidate<Residence> | undefined {
  let best: EvictionCandidate<Residence> | undefined;
  for (const residence of idle) {
    const candidate = { residence, cost: costOf(residence) };
    if (best === undefined || isCheaper(candidate, best)) best = candidate;
  }
  return best;
}

function isCheaper<Residence extends EvictableAdapter>(
  candidate: EvictionCandidate<Residence>,
  best: EvictionCandidate<Residence>,
): boolean {
  if (candidate.cost !== best.cost) return candidate.cost < best.cost;
  return candidate.residence.lastUsed < best.residence.lastUsed;
}
