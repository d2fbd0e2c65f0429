import {
  adapterId,
  adapterKey,
  type AdapterReference,
  adapterVersion,
  type EngineId,
  engineId,
  type LoadWish,
} from "@foxtailwind/core";
import type { LoadedAdapter, WishList } from "@foxtailwind/protocol";

/**
 * Converts an adapter to a message.
 * @param adapter The adapter.
 * @returns The message.
 */
export function toLoadedAdapter(adapter: AdapterReference): LoadedAdapter {
  return { adapter: adapter.adapter, version: adapter.version };
}

/**
 * Reads an adapter from a message.
 * @param message The message, if any.
 * @returns The reference, with empty ids if there is no message.
 */
export function fromLoadedAdapter(
  message: LoadedAdapter | undefined,
): AdapterReference {
  return {
    adapter: adapterId(message?.adapter ?? ""),
    version: adapterVersion(message?.version ?? ""),
  };
}

/**
 * Converts wishes to a message.
 * @param engine The engine.
 * @param wishes Its wishes.
 * @returns The message.
 */
export function toWishList(
  engine: EngineId,
  wishes: readonly LoadWish[],
): WishList {
  return {
    engine,
    wishes: wishes.map((wish) => ({
      adapter: toLoadedAdapter(wish.adapter),
      prefetch: wish.purpose === "prefetch",
      urgency: wish.urgency,
    })),
  };
}

/**
 * Reads wishes from a message.
 * @param message The message.
 * @returns The wishes.
 */
export function fromWishList(message: WishList): readonly LoadWish[] {
  const engine = engineId(message.engine);
  return message.wishes.map((wish) => {
    const adapter = fromLoadedAdapter(wish.adapter);
    return {
      engine,
      key: adapterKey(adapter),
      adapter,
      purpose: wish.prefetch ? "prefetch" : "waiting",
      urgency: wish.urgency,
    };
  });
}
