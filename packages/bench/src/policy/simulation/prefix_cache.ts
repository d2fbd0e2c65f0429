/** A prefix that a prompt can reuse. */
export interface CachedPrefix {
  readonly key: string;
  readonly tokens: number;
}

/** An engine's prefix cache, which forgets the least recently used. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #entries = new Map<string, number>();
  #tokens = 0;

  /** @param capacity How many tokens it keeps. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Looks a prefix up and keeps it.
   * @param prefix The prefix.
   * @returns Whether it was cached.
   */
  use(prefix: CachedPrefix): boolean {
    const hit = this.#entries.delete(prefix.key);
    if (!hit) this.#tokens += prefix.tokens;
    this.#entries.set(prefix.key, prefix.tokens);
    this.#shrink();
    return hit;
  }

  #shrink(): void {
    for (const [key, tokens] of this.#entries) {
      if (this.#tokens <= this.#capacity) return;
      this.#entries.delete(key);
      this.#tokens -= tokens;
    }
  }
}
