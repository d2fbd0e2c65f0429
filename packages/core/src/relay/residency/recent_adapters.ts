import { hashText } from "../../placement/weighted_rendezvous.ts";

/** An adapter's name, also as it comes from a peer. */
export interface NamedAdapter {
  readonly model: string;
  readonly adapter: string;
}

/** The 32-bit hash of an adapter's key. */
export type AdapterHash = number;

/**
 * Hashes an adapter's key. Two adapters with the same hash are taken for one
 * another, which only makes an expected load time wrong.
 * @param name The adapter.
 * @returns The hash.
 */
export function adapterHash({ model, adapter }: NamedAdapter): AdapterHash {
  return hashText(`${model}/${adapter}`);
}

/**
 * A bounded list of adapters, the most recent one first. Takes four bytes for
 * each adapter.
 */
export class RecentAdapters {
  readonly #hashes: Uint32Array;
  #size = 0;

  /** @param capacity The maximum number of adapters. */
  constructor(capacity: number) {
    this.#hashes = new Uint32Array(Math.max(1, Math.ceil(capacity)));
  }

  /** The number of adapters in the list. */
  get size(): number {
    return this.#size;
  }

  /**
   * Finds how recent an adapter is.
   * @param adapter The adapter.
   * @returns The number of more recent ones, or `undefined` if it isn't listed.
   */
  rankOf(adapter: AdapterHash): number | undefined {
    const index = this.#hashes.indexOf(adapter);
    return index === -1 || index >= this.#size ? undefined : index;
  }

  /**
   * Makes an adapter the most recent one.
   * @param adapter The adapter.
   */
  touch(adapter: AdapterHash): void {
    const known = this.rankOf(adapter);
    if (known === undefined) {
      this.#size = Math.min(this.#size + 1, this.#hashes.length);
    }
    this.#hashes.copyWithin(1, 0, known ?? this.#size - 1);
    this.#hashes[0] = adapter;
  }

  /**
   * Adds the adapters of another list as older ones, as far as there is room.
   * @param other The other list.
   */
  append(other: RecentAdapters): void {
    for (const adapter of other.#hashes.subarray(0, other.#size)) {
      if (this.#size === this.#hashes.length) return;
      if (this.rankOf(adapter) !== undefined) continue;
      this.#hashes[this.#size] = adapter;
      this.#size += 1;
    }
  }
}
