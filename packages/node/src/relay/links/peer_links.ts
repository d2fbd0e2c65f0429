import { RelayPeersClient } from "@foxtailwind/protocol";
import { credentials } from "@grpc/grpc-js";
import type { PeerChannels } from "../../peers/peer_channels.ts";
import { PeerLink } from "./peer_link.ts";

/** Keeps one link to each peer that this node asks. */
export class PeerLinks {
  readonly #channels: PeerChannels;
  readonly #links = new Map<string, PeerLink>();

  /** @param channels The gRPC channels to other nodes. */
  constructor(channels: PeerChannels) {
    this.#channels = channels;
  }

  /**
   * Returns the link to a peer; a lost one is replaced.
   * @param address The peer's IP address and port.
   * @returns The link.
   */
  getLink(address: string): PeerLink {
    const known = this.#links.get(address);
    if (known !== undefined) return known;
    const link = new PeerLink(this.createClient(address), () => {
      if (this.#links.get(address) === link) this.#links.delete(address);
    });
    this.#links.set(address, link);
    return link;
  }

  /**
   * Creates a client for calls of their own.
   * @param address The peer's IP address and port.
   * @returns The client.
   */
  createClient(address: string): RelayPeersClient {
    return new RelayPeersClient(address, credentials.createInsecure(), {
      channelOverride: this.#channels.getChannel(address),
    });
  }
}
