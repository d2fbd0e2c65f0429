import type { AdapterKey, EngineId } from "../shared/mod.ts";

const MOST_PREFIXES = 8_192;
const MOST_HOLDERS = 4;
const NONE: readonly EngineId[] = [];

/**
 * Remembers which engines likely hold the cache of a prompt prefix: those that
 * requests with it were sent to, corrected by the engines' own events, which
 * come late and with gaps.
 */
export class PrefixHistory {
  readonly #holders = new Map<string, readonly EngineId[]>();

  /**
   * Takes note that an engine holds a prefix, or is about to.
   * @param prefix The prefix.
   * @param engine The engine.
   */
  stored(prefix: Prefix, engine: EngineId): void {
    const name = prefixName(prefix);
    const others = (this.#holders.get(name) ?? NONE)
      .filter((holder) => holder !== engine);
    this.#holders.delete(name);
    this.#holders.set(name, [engine, ...others].slice(0, MOST_HOLDERS));
    if (this.#holders.size > MOST_PREFIXES) this.#forgetOldest();
  }

  /**
   * Takes note that an engine has dropped a prefix.
   * @param prefix The prefix.
   * @param engine The engine.
   */
  evicted(prefix: Prefix, engine: EngineId): void {
    const name = prefixName(prefix);
    const left = (this.#holders.get(name) ?? NONE)
      .filter((holder) => holder !== engine);
    if (left.length === 0) this.#holders.delete(name);
    else this.#holders.set(name, left);
  }

  /**
   * Finds the engines that likely hold a prefix.
   * @param prefix The prefix.
   * @returns The engines, the latest first.
   */
  holdersOf(prefix: Prefix): readonly EngineId[] {
    return this.#holders.get(prefixName(prefix)) ?? NONE;
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

function prefixName(prefix: Prefix): string {
  return `${prefix.key}/${prefix.hash}`;
}
