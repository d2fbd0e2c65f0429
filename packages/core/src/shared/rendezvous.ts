import xxhash from "xxhash-wasm";

const hasher = await xxhash();
/** The number of distinct 32-bit hash values. */
const HASH_COUNT = 2 ** 32;

/**
 * Orders candidates for a key by rendezvous hashing: each candidate's score is
 * a hash of the candidate and the key, so that adding or removing a candidate
 * moves only its own keys.
 * @param key The key to place.
 * @param candidates The candidate ids.
 * @returns The candidates, highest score first.
 */
export function rendezvousOrder<Id extends string>(
  key: string,
  candidates: readonly Id[],
): readonly Id[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    score: rendezvousScore(key, candidate),
  }));
  scored.sort((left, right) =>
    right.score - left.score || (left.candidate < right.candidate ? -1 : 1)
  );
  return scored.map((entry) => entry.candidate);
}

/**
 * Computes the deterministic score of a candidate for a key.
 * @param key The key to place.
 * @param candidate The candidate's id.
 * @returns A number in [0, 1).
 */
export function rendezvousScore(key: string, candidate: string): number {
  return hasher.h32(`${candidate}/${key}`) / HASH_COUNT;
}

/**
 * Chooses the candidate with the highest score for a key.
 * @param key The key to place.
 * @param candidates The candidate ids.
 * @returns The chosen candidate, or undefined if there are no candidates.
 */
export function rendezvousChoice<Id extends string>(
  key: string,
  candidates: readonly Id[],
): Id | undefined {
  let best: Id | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = rendezvousScore(key, candidate);
    const isBetter = score > bestScore ||
      (score === bestScore && best !== undefined && candidate < best);
    if (!isBetter) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}
