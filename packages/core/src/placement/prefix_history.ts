import type { AdapterKey, EngineId } from "../shared/mod.ts";

const MAXIMUM_PREFIXES = 8_192;
const MAXIMUM_HOLDERS = 4;
const NO_ENGINES: readonly EngineId[] = [];

/**
 * Tracks which engines likely have a prompt prefix in their cache: those that
 * received requests with it, corrected by the engines' own events, which are
 * delayed and incomplete.
 */
export class PrefixHistory {
  readonly #holders = new Map<string, readonly EngineId[]>();

  /**
   * Records that an engine holds a prefix or is about to hold it.
   * @param prefix The prefix.
   * @param engine The engine.
   */
  recordStored(prefix: Prefix, engine: EngineId): void {
    const key = prefixKey(prefix);
    const others = (this.#holders.get(key) ?? NO_ENGINES)
      .filter((holder) => holder !== engine);
    this.#holders.delete(key);
    this.#holders.set(key, [engine, ...others].slice(0, MAXIMUM_HOLDERS));
    if (this.#holders.size > MAXIMUM_PREFIXES) this.#forgetOldest();
  }

  /**
   * Records that an engine has evicted a prefix.
   * @param prefix The prefix.
   * @param engine The engine.
   */
  recordEvicted(prefix: Prefix, engine: EngineId): void {
    const key = prefixKey(prefix);
    const remaining = (this.#holders.get(key) ?? NO_ENGINES)
      .filter((holder) => holder !== engine);
    if (remaining.length === 0) this.#holders.delete(key);
    else this.#holders.set(key, remaining);
  }

  /**
   * Finds the engines that likely hold a prefix.
   * @param prefix The prefix.
   * @returns The engines, most recent first.
   */
  holdersOf(prefix: Prefix): readonly EngineId[] {
    return this.#holders.get(prefixKey(prefix)) ?? NO_ENGINES;
  }

  #forgetOldest(): void {
    const oldest = this.#holders.keys().next();
    if (oldest.done !== true) this.#holders.delete(oldest.value);
  }
}

/** A prompt prefix, cached for one adapter. */
export interface Prefix {
  readonly key: AdapterKey;
  readonly hash: string;
}

function prefixKey(prefix: Prefix): string {
  return `${prefix.key}/${prefix.hash}`;
}
