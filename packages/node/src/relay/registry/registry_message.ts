import {
  adapterId,
  type Duration,
  type HeldModel,
  type RegisteredServer,
  type RegistryEntry,
} from "@foxtailwind/core";
import { decodeProofAge, encodeProofAge } from "../accounts/proof_age.ts";

type SerializedModel = Omit<HeldModel, "adapters"> & {
  readonly adapters: readonly (readonly [string, number])[];
};
type SerializedServer = Omit<RegisteredServer, "models"> & {
  readonly models: readonly SerializedModel[];
};
type SerializedEntry =
  | Extract<RegistryEntry, { kind: "gone" }>
  | (Omit<Extract<RegistryEntry, { kind: "present" }>, "server"> & {
    readonly server: SerializedServer;
  });

/**
 * Encodes entries of the registry.
 * @param entries The entries.
 * @returns JSON, or an empty text if there are none.
 */
export function encodeRegistryEntries(
  entries: readonly RegistryEntry[],
): string {
  return entries.length === 0
    ? ""
    : JSON.stringify(entries.map(serializeEntry));
}

/**
 * Decodes entries of the registry. Peers run the same program, so they are not
 * validated.
 * @param text JSON, or an empty text.
 * @returns The entries.
 */
export function decodeRegistryEntries(text: string): readonly RegistryEntry[] {
  if (text === "") return [];
  return (JSON.parse(text) as SerializedEntry[]).map(deserializeEntry);
}

/** The part of a message that states how old its sender's registry is. */
export interface RegistryAgeMessage {
  readonly registryAgeMilliseconds?: number | undefined;
}

/**
 * Encodes how long ago a node certainly had the whole registry.
 * @param age The age, or undefined if it never had.
 * @returns The fields of the message.
 */
export function encodeRegistryAge(
  age: Duration | undefined,
): RegistryAgeMessage {
  const { operatorsAgeMilliseconds } = encodeProofAge(age);
  return { registryAgeMilliseconds: operatorsAgeMilliseconds };
}

/**
 * Decodes how long ago the sender of a message had the whole registry.
 * @param message The message.
 * @returns The age, or undefined if it never had.
 */
export function decodeRegistryAge(
  { registryAgeMilliseconds }: RegistryAgeMessage,
): Duration | undefined {
  return decodeProofAge({ operatorsAgeMilliseconds: registryAgeMilliseconds });
}

function serializeEntry(entry: RegistryEntry): SerializedEntry {
  if (entry.kind === "gone") return entry;
  const models = entry.server.models.map((held) => ({
    ...held,
    adapters: [...held.adapters],
  }));
  return { ...entry, server: { ...entry.server, models } };
}

function deserializeEntry(entry: SerializedEntry): RegistryEntry {
  // A peer that reaches the store has already waited for entries that may have
  // expired. If this node's own calls fail, treating the removal as uncertain
  // would keep it sending to removed servers for 2.5 s after the last failure.
  if (entry.kind === "gone") return { ...entry, isCertain: true };
  const models = entry.server.models.map((held) => ({
    ...held,
    adapters: new Map(
      held.adapters.map(([adapter, version]) => [adapterId(adapter), version]),
    ),
  }));
  return { ...entry, server: { ...entry.server, models } };
}
