import {
  type AdapterReference,
  type CacheEvent,
  type PromptPrefix,
} from "@foxtailwind/edges";
import { adapterKey } from "./adapter_key.ts";

interface CachedPrefix {
  readonly adapter: AdapterReference;
  readonly hash: string;
  /** Tokens beyond the next shorter prefix of the same prompt. */
  readonly ownTokens: number;
}

/** A change of the cache, before it gets its sequence. */
export type CacheChange = Omit<CacheEvent, "sequence">;

/** Prompt prefixes in limited memory; the least recently used go first. */
export class PrefixCache {
  readonly #capacityTokens: number;
  readonly #onChange: (change: CacheChange) => void;
  readonly #prefixes = new Map<string, CachedPrefix>();
  #usedTokens = 0;

  /**
   * @param capacityTokens The memory, in tokens.
   * @param onChange Receives each change.
   */
  constructor(
    capacityTokens: number,
    onChange: (change: CacheChange) => void,
  ) {
    this.#capacityTokens = capacityTokens;
    this.#onChange = onChange;
  }

  /** The share of the memory in use, 0 to 1. */
  get usedShare(): number {
    if (this.#capacityTokens === 0) return 0;
    return Math.min(1, this.#usedTokens / this.#capacityTokens);
  }

  /**
   * Finds the longest cached prefix of a prompt and marks it as used.
   * @param adapter The adapter that computes it.
   * @param prefixes The prompt's prefixes, the shortest first.
   * @returns The tokens that need no prefill.
   */
  lookUp(adapter: AdapterReference, prefixes: readonly PromptPrefix[]): number {
    let cachedTokens = 0;
    for (const { hash, tokens } of prefixes) {
      const key = prefixKey(adapter, hash);
      const found = this.#prefixes.get(key);
      if (found === undefined) break;
      this.#prefixes.delete(key);
      this.#prefixes.set(key, found);
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
      if (this.#prefixes.has(key)) continue;
      this.#prefixes.set(key, { adapter, hash, ownTokens });
      this.#usedTokens += ownTokens;
      this.#onChange({ kind: "stored", adapter, prefixHash: hash });
    }
    this.#shrink();
  }

  /**
   * Forgets what an adapter computed.
   * @param adapter The adapter.
   */
  forgetAdapter(adapter: AdapterReference): void {
    const own = `${adapterKey(adapter)}/`;
    for (const key of this.#prefixes.keys()) {
      if (key.startsWith(own)) this.#evict(key);
    }
  }

  #shrink(): void {
    for (const key of this.#prefixes.keys()) {
      if (this.#usedTokens <= this.#capacityTokens) return;
      this.#evict(key);
    }
  }

  #evict(key: string): void {
    const prefix = this.#prefixes.get(key);
    if (prefix === undefined) return;
    this.#prefixes.delete(key);
    this.#usedTokens -= prefix.ownTokens;
    const { adapter, hash } = prefix;
    this.#onChange({ kind: "evicted", adapter, prefixHash: hash });
  }
}

function prefixKey(adapter: AdapterReference, hash: string): string {
  return `${adapterKey(adapter)}/${hash}`;
}
