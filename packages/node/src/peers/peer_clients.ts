import { attemptNumber, type Failure, requestId } from "@foxtailwind/core";
import type {
  GenerationEnd,
  GenerationHandle,
  GenerationSink,
  Vm,
} from "@foxtailwind/edges";
import { type GenerateAnswer, PeerClient } from "@foxtailwind/protocol";
import { type ClientReadableStream, credentials } from "@grpc/grpc-js";
import { err, ok } from "neverthrow";
import type { PeerChannels } from "./peer_channels.ts";
import { fromFailureMessage } from "./failure_message.ts";
import {
  fromAdapter,
  type HandedOver,
  toGenerateRequest,
} from "./generate_message.ts";

/** Hands requests over to the other nodes. */
export class PeerClients {
  readonly #channels: PeerChannels;
  readonly #clients = new Map<string, PeerClient>();

  constructor(channels: PeerChannels) {
    this.#channels = channels;
  }

  /**
   * Hands a request over to the node that controls its engine.
   * @param peer The node.
   * @param handedOver The request and its engine.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  generate(
    peer: Vm,
    handedOver: HandedOver,
    sink: GenerationSink,
  ): GenerationHandle {
    const call = this.#client(peer.peerAddress ?? peer.address).generate(
      toGenerateRequest(handedOver),
    );
    receive(call, { peer: peer.id, handedOver, sink });
    return {
      pause: () => void call.pause(),
      unpause: () => void call.resume(),
      cancel: () => {
        call.cancel();
      },
    };
  }

  #client(address: string): PeerClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const client = new PeerClient(address, credentials.createInsecure(), {
      channelOverride: this.#channels.channel(address),
    });
    this.#clients.set(address, client);
    return client;
  }
}

interface Receiver {
  readonly peer: string;
  readonly handedOver: HandedOver;
  readonly sink: GenerationSink;
}

function receive(
  call: ClientReadableStream<GenerateAnswer>,
  receiver: Receiver,
): void {
  const { sink, peer, handedOver } = receiver;
  const request = handedOver.generation.request;
  let ended = false;
  function end(result: Parameters<GenerationSink["onEnd"]>[0]): void {
    if (ended) return;
    ended = true;
    sink.onEnd(result);
  }
  call.on("data", (answer: GenerateAnswer) => {
    const part = answer.part;
    switch (part?.$case) {
      case "frame":
        sink.onFrame({
          request: requestId(part.value.request),
          attempt: attemptNumber(part.value.attempt),
          sequence: part.value.sequence,
          tokens: part.value.tokens,
          adapter: fromAdapter(part.value.adapter),
        });
        break;
      case "end":
        end(ok({
          request,
          attempt: attemptNumber(1),
          finishReason: part.value
            .finishReason as GenerationEnd["finishReason"],
          promptTokens: part.value.promptTokens,
          completionTokens: part.value.completionTokens,
          cachedPromptTokens: part.value.cachedPromptTokens,
        }));
        break;
      case "failure":
        end(err(fromFailureMessage(part.value)));
        break;
      case undefined:
        break;
    }
  });
  call.on("error", (error) => {
    end(err(lost(peer, error.message)));
  });
  call.on("end", () => {
    end(err(lost(peer, "The answer stopped early.")));
  });
}

function lost(peer: string, message: string): Failure {
  return {
    reason: "unavailable",
    step: "forward",
    peer,
    message,
    outcome: "unknown",
  };
}
