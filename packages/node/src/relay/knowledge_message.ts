import {
  adapterId,
  type HeldModel,
  logOffset,
  modelId,
  type RegisteredServer,
  type RegistryEntry,
  type RelayConfiguration,
} from "@foxtailwind/core";
import type {
  Knowledge as KnowledgeMessage,
  KnowledgeRequest,
} from "@foxtailwind/protocol";
import type { Knowledge } from "./knowledge.ts";

type StoredModel = Omit<HeldModel, "adapters"> & {
  readonly adapters: readonly (readonly [string, number])[];
};
type StoredServer = Omit<RegisteredServer, "models"> & {
  readonly models: readonly StoredModel[];
};
type StoredEntry =
  | Extract<RegistryEntry, { kind: "gone" }>
  | (Omit<Extract<RegistryEntry, { kind: "present" }>, "server"> & {
    readonly server: StoredServer;
  });

/**
 * Writes what a node knows for a peer.
 * @param knowledge What it knows.
 * @param asker What the peer has.
 * @returns The message.
 */
export function writeKnowledge(
  knowledge: Knowledge,
  asker: KnowledgeRequest,
): KnowledgeMessage {
  const configuration = knowledge.routes?.configuration;
  const isNewer = configuration !== undefined &&
    configuration.version > asker.configurationVersion;
  const { registry } = knowledge;
  const knowsRegistry = asker.registryEnd >= registry.changedAt;
  return {
    configuration: isNewer ? JSON.stringify(configuration) : "",
    registry: knowsRegistry
      ? ""
      : JSON.stringify(registry.entries.map(storeEntry)),
    versions: JSON.stringify(knowledge.versions.entries),
    operatorsEnd: knowledge.operatorsEnd,
    registryEnd: registry.changedAt,
  };
}

/**
 * Takes what a peer knows. Peers run the same program, so that the message
 * is taken as written.
 * @param knowledge Takes it.
 * @param message The peer's message.
 */
export function readKnowledge(
  knowledge: Knowledge,
  message: KnowledgeMessage,
): void {
  if (message.configuration !== "") {
    knowledge.configuration(
      JSON.parse(message.configuration) as RelayConfiguration,
    );
  }
  const entries = message.registry === ""
    ? []
    : JSON.parse(message.registry) as StoredEntry[];
  for (const entry of entries) knowledge.registryEntry(restoreEntry(entry));
  const versions = JSON.parse(message.versions) as [string, number][];
  for (const [key, version] of versions) {
    const [model = "", adapter = ""] = key.split("/");
    knowledge.adapterVersion(modelId(model), adapterId(adapter), version);
  }
  knowledge.operatorsTold(logOffset(message.operatorsEnd));
  knowledge.registry.advanceChangedAt(logOffset(message.registryEnd));
}

function storeEntry(entry: RegistryEntry): StoredEntry {
  if (entry.kind === "gone") return entry;
  const models = entry.server.models.map((held) => ({
    ...held,
    adapters: [...held.adapters],
  }));
  return { ...entry, server: { ...entry.server, models } };
}

function restoreEntry(entry: StoredEntry): RegistryEntry {
  // A peer that the store serves has waited for entries that may have lapsed.
  // This node's own calls may fail for reasons of its own, and its doubt would
  // keep it sending to servers that are gone for 2.5 s after the last of them.
  if (entry.kind === "gone") return { ...entry, isCertain: true };
  const models = entry.server.models.map((held) => ({
    ...held,
    adapters: new Map(
      held.adapters.map(([adapter, version]) => [adapterId(adapter), version]),
    ),
  }));
  return { ...entry, server: { ...entry.server, models } };
}
