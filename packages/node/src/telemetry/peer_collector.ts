import { telemetry } from "@foxtailwind/protocol";
import { credentials, Metadata, type ServiceError } from "@grpc/grpc-js";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { VmDirectory, VmOfRole } from "../platform/vm_directory.ts";

/** How long a peer may take to answer. */
const PEER_TIMEOUT_MILLISECONDS = 1_500;

/** What a node answered, or why it did not. */
export type NodeAnswer<Answer> =
  | {
    readonly node: string;
    readonly answered: true;
    readonly answer: Answer;
  }
  | {
    readonly node: string;
    readonly answered: false;
    readonly reason: string;
  };

/** What a call to a peer takes besides its message. */
export interface PeerExchange<Answer> {
  readonly metadata: Metadata;
  readonly options: { readonly deadline: number };
  readonly callback: (error: ServiceError | null, answer: Answer) => void;
}

/** Calls one peer. */
export type PeerCall<Answer> = (
  client: telemetry.TelemetryClient,
  exchange: PeerExchange<Answer>,
) => void;

/** Asks all other nodes at once, each with a time limit of its own. */
export class PeerCollector {
  readonly #self: string;
  readonly #directory: VmDirectory;
  readonly #channels: PeerChannels;

  constructor(parts: {
    readonly self: string;
    readonly directory: VmDirectory;
    readonly channels: PeerChannels;
  }) {
    this.#self = parts.self;
    this.#directory = parts.directory;
    this.#channels = parts.channels;
  }

  /**
   * Asks all other nodes.
   * @param call The call to each.
   * @returns For each peer, its answer or why there is none.
   */
  async collect<Answer>(
    call: PeerCall<Answer>,
  ): Promise<readonly NodeAnswer<Answer>[]> {
    const peers = this.#directory.vms.filter(isEntry)
      .filter((vm) => vm.id !== this.#self);
    return await Promise.all(peers.map((peer) => this.#ask(peer, call)));
  }

  #ask<Answer>(
    peer: VmOfRole<"entry">,
    call: PeerCall<Answer>,
  ): Promise<NodeAnswer<Answer>> {
    const address = peer.peerAddress ?? peer.address;
    const client = new telemetry.TelemetryClient(
      address,
      credentials.createInsecure(),
      { channelOverride: this.#channels.channel(address) },
    );
    const deadline = Date.now() + PEER_TIMEOUT_MILLISECONDS;
    return new Promise((resolve) => {
      const callback: PeerExchange<Answer>["callback"] = (error, answer) => {
        resolve(
          error === null
            ? { node: peer.id, answered: true, answer }
            : { node: peer.id, answered: false, reason: error.details },
        );
      };
      const metadata = new Metadata();
      call(client, { metadata, options: { deadline }, callback });
    });
  }
}

function isEntry(
  vm: VmDirectory["vms"][number],
): vm is VmOfRole<"entry"> {
  return vm.role.kind === "entry";
}
