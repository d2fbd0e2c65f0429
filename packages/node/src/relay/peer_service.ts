import { backendServerId } from "@foxtailwind/core";
import {
  type EngineMiss,
  type EngineMissNoted,
  type KnowledgePart,
  type KnowledgeRequest,
  type LinkAnswer,
  type LinkQuestion,
  RelayPeersService,
} from "@foxtailwind/protocol";
import type {
  sendUnaryData,
  ServerDuplexStream,
  ServerUnaryCall,
  ServerWritableStream,
} from "@grpc/grpc-js";
import type { PeerRegistration } from "../peers/peer_server.ts";
import { serveAdapterUse } from "./adapter_grants.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { Knowledge } from "./knowledge.ts";
import { splitKnowledge, writeKnowledge } from "./knowledge_message.ts";
import { type LinkHandlers, serveLink } from "./links/link_service.ts";
import type { StreamDirectory } from "./streams/stream_directory.ts";

/** What answers the peers. */
export interface PeerServiceParts extends Pick<LinkHandlers, "answerExchange"> {
  readonly knowledge: Knowledge;
  readonly owners: EngineOwners;
  readonly streams: Pick<StreamDirectory, "handlers">;
}

/**
 * Creates the gRPC service that answers the peers.
 * @param parts What answers them.
 * @returns The service.
 */
export function createPeerService(
  { knowledge, owners, streams, answerExchange }: PeerServiceParts,
): PeerRegistration {
  return {
    definition: RelayPeersService,
    implementation: {
      ...streams.handlers,
      link: (call: ServerDuplexStream<LinkQuestion, LinkAnswer>) => {
        serveLink(call, {
          answerExchange,
          serveUse: (useCall) => {
            knowledge.workCounts.increment("use_answered");
            void serveAdapterUse(owners, useCall);
          },
        });
      },
      noteMiss: (
        call: ServerUnaryCall<EngineMiss, EngineMissNoted>,
        answer: sendUnaryData<EngineMissNoted>,
      ) => {
        owners.find(backendServerId(call.request.engine))?.recordMiss();
        answer(null, {});
      },
      fetchKnowledge: (
        call: ServerWritableStream<KnowledgeRequest, KnowledgePart>,
      ) => {
        knowledge.workCounts.increment("knowledge_answered");
        const message = writeKnowledge(knowledge, call.request);
        for (const part of splitKnowledge(message)) call.write(part);
        call.end();
      },
    },
  };
}
