import { telemetry } from "@foxtailwind/protocol";
import { credentials, Metadata, type ServiceError } from "@grpc/grpc-js";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { VmDirectory, VmOfRole } from "../platform/vm_directory.ts";

/** Deadline of a call to a peer. */
const PEER_TIMEOUT_MILLISECONDS = 1_500;

/** A node's answer, or the reason that there is none. */
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

/** The gRPC call arguments other than the request message. */
export interface PeerCallArguments<Answer> {
  readonly metadata: Metadata;
  readonly options: { readonly deadline: number };
  readonly callback: (error: ServiceError | null, answer: Answer) => void;
}

/** Issues one RPC to a peer. */
export type PeerCall<Answer> = (
  client: telemetry.TelemetryClient,
  exchange: PeerCallArguments<Answer>,
) => void;

/** Queries all other nodes concurrently, each with its own deadline. */
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
   * Queries all other nodes.
   * @param call Issues the RPC to one peer.
   * @returns For each peer, its answer or the reason that there is none.
   */
  async collect<Answer>(
    call: PeerCall<Answer>,
  ): Promise<readonly NodeAnswer<Answer>[]> {
    const peers = this.#directory.vms.filter(isEntry)
      .filter((vm) => vm.id !== this.#self);
    return await Promise.all(peers.map((peer) => this.#callPeer(peer, call)));
  }

  #callPeer<Answer>(
    peer: VmOfRole<"entry">,
    call: PeerCall<Answer>,
  ): Promise<NodeAnswer<Answer>> {
    const address = peer.peerAddress ?? peer.address;
    const client = new telemetry.TelemetryClient(
      address,
      credentials.createInsecure(),
      { channelOverride: this.#channels.getChannel(address) },
    );
    const deadline = Date.now() + PEER_TIMEOUT_MILLISECONDS;
    return new Promise((resolve) => {
      const callback: PeerCallArguments<Answer>["callback"] = (
        error,
        answer,
      ) => {
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
