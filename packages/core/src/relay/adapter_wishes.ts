import { type Instant, instant } from "../shared/mod.ts";
import { type AdapterName, keyOf, type WantedAdapter } from "./adapter_slot.ts";

/** What a request asks for of an adapter. */
export interface WishTerms {
  /** The oldest version allowed. */
  readonly minimumVersion: number;
  /** When the request's first event is wanted. */
  readonly wantedBy: Instant;
}

/** The adapters that are asked for and not yet ordered. */
export class AdapterWishes {
  readonly #wishes = new Map<string, WantedAdapter>();

  /** How many there are. */
  get size(): number {
    return this.#wishes.size;
  }

  /**
   * Lists them by who waits: those whose requests can still be in time come
   * first, the one that is wanted first before the others, and then those that
   * are late in any case.
   * @param now The present time.
   * @returns The wishes.
   */
  byUrgency(now: Instant): readonly WantedAdapter[] {
    const rank = ({ wantedBy }: WantedAdapter) =>
      wantedBy >= now ? wantedBy - now : Number.MAX_VALUE;
    return [...this.#wishes.values()].toSorted((one, other) =>
      rank(one) - rank(other)
    );
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
   * @param terms What is asked for.
   */
  add(now: Instant, name: AdapterName, terms: WishTerms): void {
    const key = keyOf(name);
    const known = this.#wishes.get(key);
    this.#wishes.set(key, {
      ...name,
      key,
      minimumVersion: Math.max(
        terms.minimumVersion,
        known?.minimumVersion ?? 0,
      ),
      since: known?.since ?? now,
      wantedBy: instant(
        Math.min(terms.wantedBy, known?.wantedBy ?? terms.wantedBy),
      ),
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
