import type { Instant } from "@foxtailwind/core";

/** Numbers the states of something by the times at which they were first seen. */
export class StateSequence {
  #sequence = 0;
  #bytes: Uint8Array | undefined;

  /**
   * Gives the number of a state.
   * @param now The present time.
   * @param bytes The state, encoded.
   * @returns The number of the state before where it is the same, else one that
   * is higher; never 0.
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
