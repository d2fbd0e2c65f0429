import xxhash from "xxhash-wasm";

const hasher = await xxhash();
const HEXADECIMAL_RADIX = 16;
const DIGEST_DIGITS = 16;

/**
 * An incremental, order-independent digest of a set of lines: the exclusive or
 * of the lines' xxHash64 values.
 */
export class StateDigest {
  #value = 0n;

  /** The digest in hexadecimal; equal for equal sets of lines. */
  get text(): string {
    return this.#value.toString(HEXADECIMAL_RADIX).padStart(DIGEST_DIGITS, "0");
  }

  /**
   * Adds a line, or removes it if it is in the set.
   * @param line The line.
   */
  toggle(line: string): void {
    this.#value ^= hasher.h64(line);
  }
}

/**
 * Computes a non-cryptographic hash of a text, for comparison only.
 * @param text The text.
 * @returns The hash, an unsigned 32-bit integer.
 */
export function fingerprintOf(text: string): number {
  return hasher.h32(text);
}
