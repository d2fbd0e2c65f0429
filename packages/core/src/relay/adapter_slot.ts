import type { AdapterId, Instant, ModelId } from "../shared/mod.ts";

/** An adapter of a base model. */
export interface AdapterName {
  readonly model: ModelId;
  readonly adapter: AdapterId;
}

/** Where an adapter stands at one engine. */
export type SlotState = "loading" | "resident" | "leaving";

/** An adapter that takes a slot of an engine. */
export interface AdapterSlot extends AdapterName {
  readonly state: SlotState;
  readonly version: number;
  /** Requests that were granted its use and have not ended. */
  readonly uses: number;
  readonly lastUse: Instant;
  /** Since when it is in its state. */
  readonly since: Instant;
}

/** An adapter that someone waits for. */
export interface WantedAdapter extends AdapterName {
  readonly key: string;
  readonly minimumVersion: number;
  readonly since: Instant;
}

/** What an engine should be ordered next. */
export type SlotOrder =
  | {
    readonly kind: "load";
    readonly name: AdapterName;
    /** The version to load; 0 where any will do. */
    readonly version: number;
  }
  | { readonly kind: "unload"; readonly name: AdapterName };

/** What the engine answered to an order. */
export type OrderAnswer =
  /** Already so: loaded, or no longer there. */
  | "holds"
  /** Accepted; it will be so. */
  | "accepted"
  /** Not now: in use, or another order came in between. */
  | "conflict"
  /** It may have been accepted, or may be carried out later. */
  | "unknown";

/** What bounds the slots of one engine. */
export interface SlotTerms {
  readonly slots: number;
  /** How many adapters may be on their way to the engine at once. */
  readonly transfers: number;
  /** Adapters that the engine keeps beside its slots, quick to load again. */
  readonly kept: number;
}

/**
 * Gives the key of an adapter among those of all models.
 * @param name The adapter.
 * @returns The key.
 */
export function keyOf({ model, adapter }: AdapterName): string {
  return `${model}/${adapter}`;
}

/**
 * Tells whether an adapter is there and no request uses it.
 * @param slot Its slot.
 * @returns Whether it is so.
 */
export function isUnused(slot: AdapterSlot): boolean {
  return slot.state === "resident" && slot.uses === 0;
}

/**
 * Makes the slot of an adapter that nobody uses yet.
 * @param now The present time.
 * @param name The adapter.
 * @param state Where it stands.
 * @param version Its version.
 * @returns The slot.
 */
export function newSlot(
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
    uses: 0,
    lastUse: now,
    since: now,
  };
}
