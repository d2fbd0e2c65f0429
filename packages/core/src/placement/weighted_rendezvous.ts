import xxhash from "xxhash-wasm";

const hasher = await xxhash();
const COMBINE_MULTIPLIER = 0x9e3779b1;
const FIRST_FINALIZER_MULTIPLIER = 0x85ebca6b;
const SECOND_FINALIZER_MULTIPLIER = 0xc2b2ae35;
const HASH_RANGE = 2 ** 32;

/**
 * Hashes a text to 32 bits, for {@link weightedScore}.
 * @param text An id or key.
 * @returns The hash.
 */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/**
 * Scores a candidate for a key by weighted rendezvous hashing, so that it
 * wins a share of the keys in proportion to its weight (Schindelhauer and
 * Schomaker 2005: `-weight / ln(u)`).
 * @param keyHash The key's hash.
 * @param candidateHash The candidate's hash.
 * @param weight The candidate's weight, above 0.
 * @returns The score; the highest wins.
 */
export function weightedScore(
  keyHash: number,
  candidateHash: number,
  weight: number,
): number {
  const uniform = (mix(keyHash, candidateHash) + 0.5) / HASH_RANGE;
  return -weight / Math.log(uniform);
}

/** Combines two hashes with the finalizer of MurmurHash3. */
function mix(left: number, right: number): number {
  let value = left ^ Math.imul(right, COMBINE_MULTIPLIER);
  value = Math.imul(value ^ (value >>> 16), FIRST_FINALIZER_MULTIPLIER);
  value = Math.imul(value ^ (value >>> 13), SECOND_FINALIZER_MULTIPLIER);
  return (value ^ (value >>> 16)) >>> 0;
}
