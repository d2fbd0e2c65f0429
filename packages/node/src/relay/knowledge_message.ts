import {
  adapterId,
  logOffset,
  modelId,
  type RelayConfiguration,
  type StreamSource,
} from "@foxtailwind/core";
import {
  Knowledge as KnowledgeMessage,
  type KnowledgePart,
  type KnowledgeRequest,
} from "@foxtailwind/protocol";
import { constants, gunzipSync, gzipSync } from "node:zlib";
import { encodeProofAge } from "./accounts/proof_age.ts";
import type { Knowledge } from "./knowledge.ts";

/** At 10 Mbit/s, a part takes 7 ms. */
const PART_BYTES = 8_192;

/** Compressed once, since all peers ask for a new configuration. */
const compressedConfigurations = new WeakMap<RelayConfiguration, Buffer>();

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
    configuration: isNewer ? compress(configuration) : Buffer.alloc(0),
    versions: JSON.stringify(knowledge.versions.entries),
    operatorsEnd: knowledge.operatorsEnd,
    streamSources: JSON.stringify(knowledge.streamRecord.sources.stored),
    areStreamSourcesComplete: knowledge.streamRecord.sources.isComplete,
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
  if (message.configuration.length > 0) {
    const text = gunzipSync(message.configuration).toString();
    knowledge.configuration(JSON.parse(text) as RelayConfiguration);
  }
  const versions = JSON.parse(message.versions) as [string, number][];
  for (const [key, version] of versions) {
    const [model = "", adapter = ""] = key.split("/");
    knowledge.adapterVersion(modelId(model), adapterId(adapter), version);
  }
  if (message.streamSources !== "") {
    knowledge.applyPeerSources(
      JSON.parse(message.streamSources) as StreamSource[],
      message.areStreamSourcesComplete,
    );
  }
  knowledge.operatorsTold(logOffset(message.operatorsEnd));
}

/**
 * Splits a message into parts.
 * @param message The message.
 * @returns The parts, in the order in which they are sent.
 */
export function splitKnowledge(
  message: KnowledgeMessage,
): readonly KnowledgePart[] {
  const bytes = Buffer.from(KnowledgeMessage.encode(message).finish());
  const parts: KnowledgePart[] = [];
  for (let position = 0; position < bytes.length; position += PART_BYTES) {
    const content = bytes.subarray(position, position + PART_BYTES);
    parts.push({ content });
  }
  return parts;
}

/**
 * Joins the parts of a message.
 * @param parts All parts, in order.
 * @returns The message.
 */
export function joinKnowledge(
  parts: readonly KnowledgePart[],
): KnowledgeMessage {
  return KnowledgeMessage.decode(
    Buffer.concat(parts.map(({ content }) => content)),
  );
}

function compress(configuration: RelayConfiguration): Buffer {
  const known = compressedConfigurations.get(configuration);
  if (known !== undefined) return known;
  const compressed = gzipSync(JSON.stringify(configuration), {
    level: constants.Z_BEST_SPEED,
  });
  compressedConfigurations.set(configuration, compressed);
  return compressed;
}
