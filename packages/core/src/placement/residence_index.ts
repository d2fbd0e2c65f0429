import type { AdapterKey, EngineId } from "../shared/mod.ts";

const NONE: readonly EngineId[] = [];

/**
 * Knows which engines hold, load or wait to load an adapter. Its size is
 * bounded by the engines' slots and queues, not by the number of adapters.
 */
export class ResidenceIndex {
  readonly #engines = new Map<AdapterKey, readonly EngineId[]>();

  /**
   * Finds the engines of an adapter.
   * @param key The adapter.
   * @returns The engines.
   */
  enginesOf(key: AdapterKey): readonly EngineId[] {
    return this.#engines.get(key) ?? NONE;
  }

  /**
   * Takes note that an engine holds or is to hold an adapter.
   * @param key The adapter.
   * @param engine The engine.
   */
  add(key: AdapterKey, engine: EngineId): void {
    const known = this.enginesOf(key);
    if (known.includes(engine)) return;
    this.#engines.set(key, [...known, engine]);
  }

  /**
   * Takes note that an engine does not hold an adapter any more.
   * @param key The adapter.
   * @param engine The engine.
   */
  remove(key: AdapterKey, engine: EngineId): void {
    const left = this.enginesOf(key).filter((known) => known !== engine);
    if (left.length === 0) this.#engines.delete(key);
    else this.#engines.set(key, left);
  }
}
