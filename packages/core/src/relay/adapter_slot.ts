import type { AdapterId, Instant, ModelId } from "../shared/mod.ts";
import type { EngineMemory } from "./engine_memory.ts";

/** An adapter of a base model. */
export interface AdapterName {
  readonly model: ModelId;
  readonly adapter: AdapterId;
}

/** The state of an adapter on an engine. */
export type SlotState = "loading" | "resident" | "leaving";

/** An adapter that occupies a slot of an engine. */
export interface AdapterSlot extends AdapterName {
  readonly state: SlotState;
  readonly version: number;
  /** Requests that were granted its use and have not ended. */
  readonly useCount: number;
  readonly lastUsed: Instant;
  /** When it entered its state. */
  readonly since: Instant;
}

/** An adapter that requests wait for. */
export interface LoadRequest extends AdapterName {
  readonly key: string;
  readonly minimumVersion: number;
  readonly since: Instant;
  /** When it is needed by its most urgent waiter, later for low priorities. */
  readonly dueAt: Instant;
  /** When no waiter wants it any longer. */
  readonly wantedUntil: Instant;
}

/** How urgently an adapter is needed. */
export interface LoadUrgency {
  /** When no waiter wants the adapter any longer. */
  readonly neededBy: Instant;
  /** The priority of the most urgent waiter's class, 0 for the first. */
  readonly priority: number;
}

/** The next order to an engine. */
export type SlotOrder =
  | {
    readonly kind: "load";
    readonly name: AdapterName;
    /** The version to load; 0 where any will do. */
    readonly version: number;
  }
  | { readonly kind: "unload"; readonly name: AdapterName };

/** The engine's answer to an order. */
export type OrderAnswer =
  /** Already in the ordered state: loaded, or no longer present. */
  | "holds"
  /** Accepted; the engine will reach the ordered state. */
  | "accepted"
  /** Not now: the adapter is in use, or another order came in between. */
  | "conflict"
  /** The order may have been accepted, or may be carried out later. */
  | "unknown";

/** The limits of one engine's slots. */
export interface SlotLimits {
  readonly slots: number;
  /** The engine's memory, if that is limited, too. */
  readonly memory?: EngineMemory;
  /** The maximum number of concurrent loads. */
  readonly concurrentLoads: number;
  /** Adapters that the engine caches beside its slots, quick to load again. */
  readonly cachedAdapters: number;
}

/**
 * Returns a key that is unique among the adapters of all models.
 * @param name The adapter.
 * @returns The key.
 */
export function adapterNameKey({ model, adapter }: AdapterName): string {
  return `${model}/${adapter}`;
}

/**
 * Checks whether an adapter is resident and unused.
 * @param slot Its slot.
 * @returns Whether the slot is idle.
 */
export function isIdleSlot(slot: AdapterSlot): boolean {
  return slot.state === "resident" && slot.useCount === 0;
}

/**
 * Creates the slot of an adapter that no request uses yet.
 * @param now The present time.
 * @param name The adapter.
 * @param state Its state.
 * @param version Its version.
 * @returns The slot.
 */
export function createSlot(
  now: Instant,
  { model, adapter }: AdapterName,
  state: SlotState,
  version: number,
): AdapterSlot {
  return {
    model,
    adapter,
    state,
    version,
    useCount: 0,
    lastUsed: now,
    since: now,
  };
}
