import type { GenerationHandle, GenerationSink, Vm } from "@foxtailwind/edges";
import { PeerClient } from "@foxtailwind/protocol";
import { credentials } from "@grpc/grpc-js";
import { type HandOverRequest, toGenerateRequest } from "./generate_message.ts";
import { HandOverLink } from "./hand_over_link.ts";
import type { PeerChannels } from "./peer_channels.ts";

/** Hands requests over to other nodes. */
export class PeerClients {
  readonly #channels: PeerChannels;
  readonly #links = new Map<string, HandOverLink>();

  /** @param channels The connections to the peers. */
  constructor(channels: PeerChannels) {
    this.#channels = channels;
  }

  /**
   * Hands a request over to the node that controls its engine.
   * @param peer The node.
   * @param handOver The request and its engine.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  generate(
    peer: Vm,
    handOver: HandOverRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const link = this.#link(peer);
    return link.generate(toGenerateRequest(handOver), sink);
  }

  /** Closes all links; their requests in progress fail. */
  close(): void {
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
  }

  #link(peer: Vm): HandOverLink {
    const address = peer.peerAddress ?? peer.address;
    const known = this.#links.get(address);
    if (known?.isUsable === true) return known;
    const client = new PeerClient(address, credentials.createInsecure(), {
      channelOverride: this.#channels.getChannel(address),
    });
    const link = new HandOverLink(client, peer.id);
    this.#links.set(address, link);
    return link;
  }
}
