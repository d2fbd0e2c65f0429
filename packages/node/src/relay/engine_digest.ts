import type { AdapterSlot, RegisteredServer } from "@foxtailwind/core";
import type { EngineDigest, HeldAdapter } from "@foxtailwind/protocol";

/**
 * Writes what an owner tells other nodes of its engine.
 * @param server The engine.
 * @param slots Its adapters.
 * @param state How it fares.
 * @returns The message.
 */
export function writeEngineDigest(
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
