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
 * A bounded list of adapters with their versions, the most recent one first.
 * Takes eight bytes for each adapter.
 */
export class RecentAdapters {
  readonly #hashes: Uint32Array;
  readonly #versions: Uint32Array;
  #size = 0;

  /** @param capacity The maximum number of adapters. */
  constructor(capacity: number) {
    const length = Math.max(1, Math.ceil(capacity));
    this.#hashes = new Uint32Array(length);
    this.#versions = new Uint32Array(length);
  }

  /** The number of adapters in the list. */
  get size(): number {
    return this.#size;
  }

  /**
   * Finds how recent an adapter is.
   * @param adapter The adapter.
   * @param minimumVersion The oldest version that counts.
   * @returns The number of more recent ones, or `undefined` if it isn't listed.
   */
  rankOf(adapter: AdapterHash, minimumVersion = 0): number | undefined {
    const index = this.#hashes.indexOf(adapter);
    if (index === -1 || index >= this.#size) return undefined;
    return (this.#versions[index] ?? 0) < minimumVersion ? undefined : index;
  }

  /**
   * Makes an adapter the most recent one.
   * @param adapter The adapter.
   * @param version Its version; the known one by default.
   */
  touch(adapter: AdapterHash, version?: number): void {
    const known = this.rankOf(adapter);
    const knownVersion = known === undefined ? 0 : this.#versions[known];
    if (known === undefined) {
      this.#size = Math.min(this.#size + 1, this.#hashes.length);
    }
    const end = known ?? this.#size - 1;
    this.#hashes.copyWithin(1, 0, end);
    this.#versions.copyWithin(1, 0, end);
    this.#hashes[0] = adapter;
    this.#versions[0] = version ?? knownVersion ?? 0;
  }

  /**
   * Adds the adapters of another list as older ones, as far as there is room.
   * @param other The other list.
   */
  append(other: RecentAdapters): void {
    for (let index = 0; index < other.#size; index += 1) {
      const adapter = other.#hashes[index] ?? 0;
      if (this.#size === this.#hashes.length) return;
      if (this.rankOf(adapter) !== undefined) continue;
      this.#hashes[this.#size] = adapter;
      this.#versions[this.#size] = other.#versions[index] ?? 0;
      this.#size += 1;
    }
  }
}
