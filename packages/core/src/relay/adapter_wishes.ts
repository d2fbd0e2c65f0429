import type { Instant } from "../shared/mod.ts";
import { type AdapterName, keyOf, type WantedAdapter } from "./adapter_slot.ts";

/** The adapters that are asked for and not yet ordered, oldest first. */
export class AdapterWishes {
  readonly #wishes = new Map<string, WantedAdapter>();

  /** How many there are. */
  get size(): number {
    return this.#wishes.size;
  }

  /** All of them. */
  get all(): readonly WantedAdapter[] {
    return [...this.#wishes.values()];
  }

  /**
   * Tells whether an adapter is asked for.
   * @param name The adapter.
   * @returns Whether it is.
   */
  has(name: AdapterName): boolean {
    return this.#wishes.has(keyOf(name));
  }

  /**
   * Asks for an adapter, or for a newer version of one that is asked for.
   * @param now The present time.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   */
  add(now: Instant, name: AdapterName, minimumVersion: number): void {
    const key = keyOf(name);
    const known = this.#wishes.get(key);
    this.#wishes.set(key, {
      ...name,
      key,
      minimumVersion: Math.max(minimumVersion, known?.minimumVersion ?? 0),
      since: known?.since ?? now,
    });
  }

  /**
   * Takes a wish back.
   * @param name The adapter.
   */
  delete(name: AdapterName): void {
    this.#wishes.delete(keyOf(name));
  }
}
