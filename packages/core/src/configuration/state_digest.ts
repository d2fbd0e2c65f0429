import xxhash from "xxhash-wasm";

const hasher = await xxhash();
const HEXADECIMAL = 16;
const DIGITS = 16;

/**
 * A digest of a set of lines that is kept up to date line by line, in any
 * order: the exclusive or of the lines' xxHash64 values.
 */
export class StateDigest {
  #value = 0n;

  /** The digest as text, the same for equal sets of lines. */
  get text(): string {
    return this.#value.toString(HEXADECIMAL).padStart(DIGITS, "0");
  }

  /**
   * Adds a line, or takes it out where it is in.
   * @param line The line.
   */
  toggle(line: string): void {
    this.#value ^= hasher.h64(line);
  }
}

/**
 * Hashes a text for comparison only.
 * @param text The text.
 * @returns 32 bits.
 */
export function fingerprintOf(text: string): number {
  return hasher.h32(text);
}
