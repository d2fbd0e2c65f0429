import type { AdapterSlot, RegisteredServer } from "@foxtailwind/core";
import type { EngineDigest, HeldAdapter } from "@foxtailwind/protocol";

/**
 * Builds the digest of an engine that its owner sends to other nodes.
 * @param server The engine.
 * @param slots The engine's adapter slots.
 * @param state The engine's other state.
 * @returns The digest.
 */
export function buildEngineDigest(
  server: RegisteredServer,
  slots: readonly AdapterSlot[],
  state: Omit<EngineDigest, "engine" | "adapters">,
): EngineDigest {
  const adapters = slots
    .filter((slot) => slot.state !== "leaving")
    .map((slot): HeldAdapter => ({
      model: slot.model,
      adapter: slot.adapter,
      version: slot.version,
      isLoading: slot.state === "loading",
    }));
  return { engine: server.id, ...state, adapters };
}
