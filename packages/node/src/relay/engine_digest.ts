import type { EngineSlots, RegisteredServer } from "@foxtailwind/core";
import type { EngineDigest, HeldAdapter } from "@foxtailwind/protocol";
import { encodeDuration } from "./encoded_numbers.ts";

/**
 * Builds the digest of an engine that its owner sends to other nodes.
 * @param server The engine.
 * @param slots The engine's adapter slots.
 * @param state The engine's other state.
 * @returns The digest.
 */
export function buildEngineDigest(
  server: RegisteredServer,
  slots: EngineSlots,
  state: Omit<
    EngineDigest,
    | "engine"
    | "adapters"
    | "cacheSize"
    | "loadMilliseconds"
    | "reloadMilliseconds"
  >,
): EngineDigest {
  const adapters = slots.slots
    .filter((slot) => slot.state !== "leaving")
    .map((slot): HeldAdapter => ({
      model: slot.model,
      adapter: slot.adapter,
      version: slot.version,
      isLoading: slot.state === "loading",
    }));
  const { loadTimes } = slots;
  return {
    engine: server.id,
    ...state,
    adapters,
    cacheSize: loadTimes.cacheSize,
    loadMilliseconds: encodeDuration(loadTimes.estimateFrom("store")),
    reloadMilliseconds: encodeDuration(loadTimes.estimateFrom("cache")),
  };
}
