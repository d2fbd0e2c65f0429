import type { AdapterReference, EngineId, LoadWish } from "@foxtailwind/core";

/** Receives the permits of one engine. */
export type PermitListener = (adapter: AdapterReference) => void;

/** A load for which a permit was granted. */
export interface PermittedLoad {
  readonly engine: EngineId;
  readonly adapter: AdapterReference;
}

/** Requests permits to load adapters from the weight store. */
export abstract class LoadPermits {
  /**
   * Registers the receiver of an engine's permits.
   * @param engine The engine.
   * @param listener The receiver.
   */
  abstract register(engine: EngineId, listener: PermitListener): void;

  /**
   * Removes the registration and the wishes of an engine.
   * @param engine The engine.
   */
  abstract unregister(engine: EngineId): void;

  /**
   * Replaces the wishes of an engine.
   * @param engine The engine.
   * @param wishes The most urgent wishes.
   */
  abstract setWishes(engine: EngineId, wishes: readonly LoadWish[]): void;

  /**
   * Releases a permit after its load, or unused.
   * @param load The load, and whether the adapter was loaded.
   */
  abstract release(load: PermittedLoad & { readonly loaded: boolean }): void;
}
