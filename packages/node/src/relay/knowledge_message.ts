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
import { encodeProofAge } from "./accounts/proof_age.ts";
import type { Knowledge } from "./knowledge.ts";

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
 * Encodes what this node knows and a peer lacks.
 * @param knowledge The knowledge of this node.
 * @param request States what the peer already has.
 * @returns The message.
 */
export function writeKnowledge(
  knowledge: Knowledge,
  request: KnowledgeRequest,
): KnowledgeMessage {
  const configuration = knowledge.routes?.configuration;
  const isNewer = configuration !== undefined &&
    configuration.version > request.configurationVersion;
  const { registry } = knowledge;
  const isRegistryKnown = request.registryEnd >= registry.changedAt;
  return {
    configuration: isNewer ? JSON.stringify(configuration) : "",
    registry: isRegistryKnown
      ? ""
      : JSON.stringify(registry.entries.map(serializeEntry)),
    versions: JSON.stringify(knowledge.versions.entries),
    operatorsEnd: knowledge.operatorsEnd,
    registryEnd: registry.changedAt,
    ...encodeProofAge(knowledge.proofs.age),
  };
}

/**
 * Applies a peer's knowledge message. Peers run the same program, so the
 * message is not validated.
 * @param knowledge The knowledge to update.
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
    : JSON.parse(message.registry) as SerializedEntry[];
  knowledge.applyPeerEntries(entries.map(deserializeEntry));
  const versions = JSON.parse(message.versions) as [string, number][];
  for (const [key, version] of versions) {
    const [model = "", adapter = ""] = key.split("/");
    knowledge.adapterVersion(modelId(model), adapterId(adapter), version);
  }
  knowledge.operatorsTold(logOffset(message.operatorsEnd));
  knowledge.registry.advanceChangedAt(logOffset(message.registryEnd));
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
