import {
  type AdapterKey,
  assertInvariant,
  type EngineCapacity,
  type EngineId,
  type RequestId,
} from "@foxtailwind/core";
import { SoakEngine } from "./soak_engine.ts";
import { pick } from "./soak_names.ts";

/** The engines of a soak that are up. */
export class SoakEngines {
  readonly #engines = new Map<EngineId, SoakEngine>();

  /**
   * Starts an engine, with nothing in it.
   * @param engine Its id.
   * @param capacity What it can hold.
   */
  start(engine: EngineId, capacity: EngineCapacity): void {
    this.#engines.set(engine, new SoakEngine(engine, capacity));
  }

  /**
   * Takes an engine out.
   * @param engine Its id.
   */
  remove(engine: EngineId): void {
    this.#engines.delete(engine);
  }

  /**
   * Finds an engine.
   * @param engine Its id.
   * @returns The engine, or nothing where it is not up.
   */
  find(engine: EngineId): SoakEngine | undefined {
    return this.#engines.get(engine);
  }

  /**
   * Finds an engine that gets an order, which must be up.
   * @param id Its id.
   * @returns The engine.
   */
  live(id: EngineId): SoakEngine {
    const engine = this.#engines.get(id);
    assertInvariant(
      engine !== undefined,
      "orders_only_to_live_engines",
      () => id,
    );
    return engine;
  }

  /**
   * Lists the loads or evictions in progress.
   * @param what Which of them.
   * @returns Each with its engine.
   */
  everywhere(
    what: "loading" | "evicting",
  ): readonly (readonly [SoakEngine, AdapterKey])[] {
    return [...this.#engines.values()].flatMap((engine) =>
      [...engine[what].keys()].map((key) => [engine, key] as const)
    );
  }

  /**
   * Picks one of the loads or evictions in progress.
   * @param what Which of them.
   * @param choice Which one, modulo their number.
   * @returns Its engine and adapter, or nothing where there is none.
   */
  pickMoving(what: "loading" | "evicting", choice: number) {
    const [engine, key] = pick(this.everywhere(what), choice) ?? [];
    if (engine === undefined || key === undefined) return undefined;
    const adapter = engine[what].get(key);
    return adapter === undefined ? undefined : { engine, key, adapter };
  }

  /**
   * Lists the requests that run.
   * @returns Each with its engine.
   */
  running(): readonly (readonly [SoakEngine, RequestId])[] {
    return [...this.#engines.values()].flatMap((engine) =>
      [...engine.running.keys()].map((key) => [engine, key] as const)
    );
  }
}
