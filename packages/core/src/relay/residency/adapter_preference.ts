import {
  hashText,
  weightedScore,
} from "../../placement/weighted_rendezvous.ts";
import type { BackendServerId } from "../../shared/mod.ts";

/** The ranks from which an engine is no longer preferred to the next. */
const RANKED_ENGINES = 3;
/** The number of engines whose hashes are kept. */
const MAXIMUM_HASHES = 16_384;

const hashes = new Map<string, number>();

/**
 * An adapter's preference order among engines by rendezvous hashing. Only the
 * first engines are told apart.
 */
export class AdapterPreference {
  readonly #first: readonly BackendServerId[];

  /**
   * @param key The adapter's key.
   * @param engines The engines.
   */
  constructor(
    key: string,
    engines: readonly { readonly id: BackendServerId }[],
  ) {
    this.#first = findFirst(hashText(key), engines);
  }

  /** The first engines, in the order of preference. */
  get first(): readonly BackendServerId[] {
    return this.#first;
  }

  /**
   * Returns the rank of an engine.
   * @param engine The engine.
   * @returns The rank from 0; the same for all engines but the first.
   */
  rankOf(engine: BackendServerId): number {
    const rank = this.#first.indexOf(engine);
    return rank === -1 ? RANKED_ENGINES : rank;
  }
}

function findFirst(
  keyHash: number,
  engines: readonly { readonly id: BackendServerId }[],
): readonly BackendServerId[] {
  const ids: BackendServerId[] = [];
  const scores: number[] = [];
  for (const { id } of engines) {
    const score = weightedScore(keyHash, engineHash(id), 1);
    let place = scores.length;
    while (place > 0 && score > (scores[place - 1] ?? 0)) place -= 1;
    if (place >= RANKED_ENGINES) continue;
    scores.splice(place, 0, score);
    ids.splice(place, 0, id);
    if (scores.length > RANKED_ENGINES) {
      scores.pop();
      ids.pop();
    }
  }
  return ids;
}

/** Returns the hash of an engine's id, which is computed once. */
function engineHash(id: string): number {
  const known = hashes.get(id);
  if (known !== undefined) return known;
  if (hashes.size >= MAXIMUM_HASHES) hashes.clear();
  const hash = hashText(id);
  hashes.set(id, hash);
  return hash;
}
