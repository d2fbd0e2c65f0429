/** A bounded set that keeps the most recently added keys. */
export class RecentKeys {
  readonly #capacity: number;
  readonly #keys = new Set<string>();

  /** @param capacity The maximum number of keys. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Checks whether a key is remembered.
   * @param key The key.
   * @returns Whether it is remembered.
   */
  has(key: string): boolean {
    return this.#keys.has(key);
  }

  /**
   * Removes a key.
   * @param key The key.
   * @returns Whether it was remembered.
   */
  delete(key: string): boolean {
    return this.#keys.delete(key);
  }

  /**
   * Adds a key or marks it as the most recent one.
   * @param key The key.
   */
  add(key: string): void {
    this.#keys.delete(key);
    this.#keys.add(key);
    for (const oldest of this.#keys) {
      if (this.#keys.size <= this.#capacity) break;
      this.#keys.delete(oldest);
    }
  }
}
