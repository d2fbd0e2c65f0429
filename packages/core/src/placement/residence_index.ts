import type { AdapterKey, EngineId } from "../shared/mod.ts";

const NO_ENGINES: readonly EngineId[] = [];

/**
 * Maps adapters to the engines that hold, load or wait to load them. Its size
 * is bounded by the engines' slots and queues, not by the number of adapters.
 */
export class ResidenceIndex {
  readonly #engines = new Map<AdapterKey, readonly EngineId[]>();

  /**
   * Finds the engines of an adapter.
   * @param key The adapter.
   * @returns The engines.
   */
  enginesOf(key: AdapterKey): readonly EngineId[] {
    return this.#engines.get(key) ?? NO_ENGINES;
  }

  /**
   * Records that an engine holds or is going to hold an adapter.
   * @param key The adapter.
   * @param engine The engine.
   */
  add(key: AdapterKey, engine: EngineId): void {
    const known = this.enginesOf(key);
    if (known.includes(engine)) return;
    this.#engines.set(key, [...known, engine]);
  }

  /**
   * Records that an engine no longer holds an adapter.
   * @param key The adapter.
   * @param engine The engine.
   */
  remove(key: AdapterKey, engine: EngineId): void {
    const remaining = this.enginesOf(key).filter((known) => known !== engine);
    if (remaining.length === 0) this.#engines.delete(key);
    else this.#engines.set(key, remaining);
  }
}
