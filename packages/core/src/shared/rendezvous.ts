import xxhash from "xxhash-wasm";

const hasher = await xxhash();
/** How many hashes there are. */
const HASHES = 2 ** 32;

/**
 * Orders candidates for a key by rendezvous hashing: each candidate scores a
 * hash of itself and the key, so that a candidate that comes or goes moves
 * only its own keys.
 * @param key What is placed.
 * @param candidates The ids to choose among.
 * @returns The candidates, best first.
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
 * Scores a candidate for a key: a draw that stays the same.
 * @param key What is placed.
 * @param candidate The candidate's id.
 * @returns A number from 0 up to, and without, 1.
 */
export function rendezvousScore(key: string, candidate: string): number {
  return hasher.h32(`${candidate}/${key}`) / HASHES;
}

/**
 * Chooses the best candidate for a key.
 * @param key What is placed.
 * @param candidates The ids to choose among.
 * @returns The best candidate, or nothing where there is none.
 */
export function rendezvousChoice<Id extends string>(
  key: string,
  candidates: readonly Id[],
): Id | undefined {
  let best: Id | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = rendezvousScore(key, candidate);
    const wins = score > bestScore ||
      (score === bestScore && best !== undefined && candidate < best);
    if (!wins) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}
