import type { AdapterReference, EngineId, LoadWish } from "@foxtailwind/core";

/** Receives the permits of one engine. */
export type PermitListener = (adapter: AdapterReference) => void;

/** A load that was permitted. */
export interface PermittedLoad {
  readonly engine: EngineId;
  readonly adapter: AdapterReference;
}

/** Asks for permits to load adapters from the weight store. */
export abstract class LoadPermits {
  /**
   * Registers who receives an engine's permits.
   * @param engine The engine.
   * @param listener Receives them.
   */
  abstract register(engine: EngineId, listener: PermitListener): void;

  /**
   * Takes an engine's registration and wishes back.
   * @param engine The engine.
   */
  abstract unregister(engine: EngineId): void;

  /**
   * Replaces an engine's wishes.
   * @param engine The engine.
   * @param wishes The most urgent ones.
   */
  abstract setWishes(engine: EngineId, wishes: readonly LoadWish[]): void;

  /**
   * Gives a permit back after its load, or unused.
   * @param load The load, and whether the adapter was loaded.
   */
  abstract release(load: PermittedLoad & { readonly loaded: boolean }): void;
}
