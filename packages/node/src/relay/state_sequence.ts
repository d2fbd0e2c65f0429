import type { Instant } from "@foxtailwind/core";

/** Numbers the states of a value by the time each one was first seen. */
export class StateSequence {
  #sequence = 0;
  #bytes: Uint8Array | undefined;

  /**
   * Returns the sequence number of a state.
   * @param now The present time.
   * @param bytes The encoded state.
   * @returns The previous number if the state is unchanged, else a higher one;
   * never 0.
   */
  numberOf(now: Instant, bytes: Uint8Array): number {
    const isSame = this.#bytes !== undefined &&
      Buffer.compare(this.#bytes, bytes) === 0;
    if (!isSame) {
      this.#bytes = bytes;
      this.#sequence = Math.max(Math.floor(now), this.#sequence + 1);
    }
    return this.#sequence;
  }
}
