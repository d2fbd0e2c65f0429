/** The latest keys that were seen, up to a number. */
export class RecentKeys {
  readonly #most: number;
  readonly #keys = new Set<string>();

  /** @param most How many are remembered. */
  constructor(most: number) {
    this.#most = most;
  }

  /**
   * Tells whether a key is remembered.
   * @param key The key.
   * @returns Whether it is.
   */
  has(key: string): boolean {
    return this.#keys.has(key);
  }

  /**
   * Remembers a key as the latest.
   * @param key The key.
   */
  add(key: string): void {
    this.#keys.delete(key);
    this.#keys.add(key);
    for (const oldest of this.#keys) {
      if (this.#keys.size <= this.#most) break;
      this.#keys.delete(oldest);
    }
  }
}
