import {
  adapterId,
  logOffset,
  modelId,
  type RelayConfiguration,
} from "@foxtailwind/core";
import type {
  Knowledge as KnowledgeMessage,
  KnowledgeRequest,
} from "@foxtailwind/protocol";
import { encodeProofAge } from "./accounts/proof_age.ts";
import type { Knowledge } from "./knowledge.ts";

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
  return {
    configuration: isNewer ? JSON.stringify(configuration) : "",
    versions: JSON.stringify(knowledge.versions.entries),
    operatorsEnd: knowledge.operatorsEnd,
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
  const versions = JSON.parse(message.versions) as [string, number][];
  for (const [key, version] of versions) {
    const [model = "", adapter = ""] = key.split("/");
    knowledge.adapterVersion(modelId(model), adapterId(adapter), version);
  }
  knowledge.operatorsTold(logOffset(message.operatorsEnd));
}
