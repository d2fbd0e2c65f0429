import {
  type AdapterReference,
  type CacheEvent,
  type PromptPrefix,
} from "@foxtailwind/edges";
import { adapterKey } from "./adapter_key.ts";

interface CachedPrefix {
  readonly adapter: AdapterReference;
  readonly hash: string;
  /** The tokens after the next shorter prefix of the same prompt. */
  readonly ownTokens: number;
}

/** A change of the cache without a sequence number. */
export type CacheChange = Omit<CacheEvent, "sequence">;

/** A cache of prompt prefixes that evicts the least recently used ones. */
export class PrefixCache {
  readonly #capacityTokens: number;
  readonly #onChange: (change: CacheChange) => void;
  readonly #prefixesByKey = new Map<string, CachedPrefix>();
  #usedTokens = 0;

  /**
   * @param capacityTokens The capacity in tokens.
   * @param onChange Called with each change.
   */
  constructor(
    capacityTokens: number,
    onChange: (change: CacheChange) => void,
  ) {
    this.#capacityTokens = capacityTokens;
    this.#onChange = onChange;
  }

  /** The fraction of the capacity in use, 0 to 1. */
  get usedFraction(): number {
    if (this.#capacityTokens === 0) return 0;
    return Math.min(1, this.#usedTokens / this.#capacityTokens);
  }

  /**
   * Finds the longest cached prefix of a prompt and marks it as recently used.
   * @param adapter The adapter that computes it.
   * @param prefixes The prompt's prefixes, the shortest first.
   * @returns The number of tokens that need no prefill.
   */
  lookUp(adapter: AdapterReference, prefixes: readonly PromptPrefix[]): number {
    let cachedTokens = 0;
    for (const { hash, tokens } of prefixes) {
      const key = prefixKey(adapter, hash);
      const cached = this.#prefixesByKey.get(key);
      if (cached === undefined) break;
      this.#prefixesByKey.delete(key);
      this.#prefixesByKey.set(key, cached);
      cachedTokens = tokens;
    }
    return cachedTokens;
  }

  /**
   * Stores all prefixes of a prompt.
   * @param adapter The adapter that computed them.
   * @param prefixes The prompt's prefixes, the shortest first.
   */
  store(adapter: AdapterReference, prefixes: readonly PromptPrefix[]): void {
    let shorterTokens = 0;
    for (const { hash, tokens } of prefixes) {
      const ownTokens = tokens - shorterTokens;
      shorterTokens = tokens;
      const key = prefixKey(adapter, hash);
      if (this.#prefixesByKey.has(key)) continue;
      this.#prefixesByKey.set(key, { adapter, hash, ownTokens });
      this.#usedTokens += ownTokens;
      this.#onChange({ kind: "stored", adapter, prefixHash: hash });
    }
    this.#evictToCapacity();
  }

  /**
   * Evicts all prefixes that an adapter computed.
   * @param adapter The adapter.
   */
  evictAdapter(adapter: AdapterReference): void {
    const adapterPrefix = `${adapterKey(adapter)}/`;
    for (const key of this.#prefixesByKey.keys()) {
      if (key.startsWith(adapterPrefix)) this.#evict(key);
    }
  }

  #evictToCapacity(): void {
    for (const key of this.#prefixesByKey.keys()) {
      if (this.#usedTokens <= this.#capacityTokens) return;
      this.#evict(key);
    }
  }

  #evict(key: string): void {
    const prefix = this.#prefixesByKey.get(key);
    if (prefix === undefined) return;
    this.#prefixesByKey.delete(key);
    this.#usedTokens -= prefix.ownTokens;
    const { adapter, hash } = prefix;
    this.#onChange({ kind: "evicted", adapter, prefixHash: hash });
  }
}

function prefixKey(adapter: AdapterReference, hash: string): string {
  return `${adapterKey(adapter)}/${hash}`;
}
