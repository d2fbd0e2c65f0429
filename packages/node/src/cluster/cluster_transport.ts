import type { ClusterMessage, OutgoingMessage } from "@foxtailwind/core";
import {
  ClusterClient,
  type ClusterEnvelope,
  ClusterService,
  type Delivered,
} from "@foxtailwind/protocol";
import {
  credentials,
  Metadata,
  type sendUnaryData,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import { fromEnvelope, toEnvelope } from "./cluster_envelope.ts";

const SEND_TIMEOUT_MILLISECONDS = 500;

/** Sends messages between nodes; a lost message is not sent again. */
export class ClusterTransport {
  readonly #channels: PeerChannels;
  readonly #clients = new Map<string, ClusterClient>();

  /** @param channels The connections to the peers. */
  constructor(channels: PeerChannels) {
    this.#channels = channels;
  }

  /**
   * Sends a message.
   * @param outgoing The message and its destination.
   * @returns Whether the peer has confirmed that it received the message.
   */
  send(outgoing: OutgoingMessage): Promise<boolean> {
    const client = this.#client(outgoing.to.address);
    const deadline = Date.now() + SEND_TIMEOUT_MILLISECONDS;
    return new Promise((resolve) => {
      if (this.#channels.isClosed) {
        resolve(false);
        return;
      }
      client.deliver(
        toEnvelope(outgoing.message),
        new Metadata(),
        { deadline },
        (error) => {
          resolve(error === null);
        },
      );
    });
  }

  #client(address: string): ClusterClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const client = new ClusterClient(address, credentials.createInsecure(), {
      channelOverride: this.#channels.getChannel(address),
    });
    this.#clients.set(address, client);
    return client;
  }
}

/**
 * Creates the service that receives messages of other nodes.
 * @param receive Called with each message.
 * @returns The gRPC service to register.
 */
export function createClusterService(
  receive: (message: ClusterMessage) => void,
): PeerRegistration {
  return {
    definition: ClusterService,
    implementation: {
      deliver(
        call: ServerUnaryCall<ClusterEnvelope, Delivered>,
        callback: sendUnaryData<Delivered>,
      ) {
        const message = fromEnvelope(call.request);
        if (message !== undefined) receive(message);
        callback(null, {});
      },
    },
  };
}
