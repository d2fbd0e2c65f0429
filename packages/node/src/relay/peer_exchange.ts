import { backendServerId } from "@foxtailwind/core";
import {
  type AdapterGrant,
  type AdapterUse,
  type EngineMiss,
  type EngineMissNoted,
  type Knowledge as KnowledgeMessage,
  type KnowledgeRequest,
  type NodeDigest,
  RelayPeersClient,
  RelayPeersService,
} from "@foxtailwind/protocol";
import {
  credentials,
  Metadata,
  type sendUnaryData,
  type ServerUnaryCall,
  type ServerWritableStream,
} from "@grpc/grpc-js";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import { serveUse } from "./adapter_grants.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { Knowledge } from "./knowledge.ts";
import { KnowledgeFetch } from "./knowledge_fetch.ts";
import { writeKnowledge } from "./knowledge_message.ts";

/** Between two exchanges with each peer, in milliseconds. */
const EXCHANGE_PERIOD = 300;
/** News of so many milliseconds go out together. */
const GATHERING_TIME = 5;
/** After so many milliseconds, an exchange counts as unanswered. */
const EXCHANGE_LIMIT = 500;

/** What exchanges work with. */
export interface PeerExchangeParts {
  readonly knowledge: Knowledge;
  readonly owners: EngineOwners;
  readonly channels: PeerChannels;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
  /** What this node says of itself. */
  readonly digest: () => NodeDigest;
}

/** Exchanges digests with the other nodes, both ways in one call. */
export class PeerExchange {
  readonly #parts: PeerExchangeParts;
  readonly #pending = new Set<string>();
  readonly #fetch: KnowledgeFetch;
  #timer: NodeJS.Timeout | undefined;
  #newsTimer: NodeJS.Timeout | undefined;

  /** @param parts What it works with. */
  constructor(parts: PeerExchangeParts) {
    this.#parts = parts;
    this.#fetch = new KnowledgeFetch({
      ...parts,
      client: (address) => this.#client(address),
    });
  }

  /** The gRPC service that answers the peers. */
  get registration(): PeerRegistration {
    const { owners } = this.#parts;
    return {
      definition: RelayPeersService,
      implementation: {
        useAdapter: (call: ServerWritableStream<AdapterUse, AdapterGrant>) => {
          void serveUse(owners, call);
        },
        noteMiss: (
          call: ServerUnaryCall<EngineMiss, EngineMissNoted>,
          answer: sendUnaryData<EngineMissNoted>,
        ) => {
          owners.find(backendServerId(call.request.engine))?.missed();
          answer(null, {});
        },
        exchange: (
          call: ServerUnaryCall<NodeDigest, NodeDigest>,
          answer: sendUnaryData<NodeDigest>,
        ) => {
          this.#hear(call.request);
          answer(null, this.#parts.digest());
        },
        fetchKnowledge: (
          call: ServerUnaryCall<KnowledgeRequest, KnowledgeMessage>,
          answer: sendUnaryData<KnowledgeMessage>,
        ) => {
          const { configurationVersion } = call.request;
          answer(
            null,
            writeKnowledge(this.#parts.knowledge, configurationVersion),
          );
        },
      },
    };
  }

  /** Starts to exchange. */
  start(): void {
    this.#timer = setInterval(() => {
      this.exchange();
    }, EXCHANGE_PERIOD);
  }

  /** Exchanges with all peers now. */
  exchange(): void {
    const { knowledge, clock, channels } = this.#parts;
    const now = clock.now();
    channels.retain(knowledge.peers.addresses);
    const digest = this.#parts.digest();
    for (const contact of knowledge.peers.contacts(now)) {
      this.#exchangeWith(contact.address, digest);
    }
    this.#fetch.askWithoutLog(now);
  }

  /** Exchanges with all peers ahead of time, since there is news. */
  exchangeSoon(): void {
    this.#newsTimer ??= setTimeout(() => {
      this.#newsTimer = undefined;
      this.exchange();
    }, GATHERING_TIME);
  }

  /** Stops. */
  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#newsTimer);
    this.#fetch.stop();
  }

  #exchangeWith(address: string, digest: NodeDigest): void {
    if (this.#pending.has(address)) return;
    this.#pending.add(address);
    this.#client(address).exchange(
      digest,
      new Metadata(),
      { deadline: Date.now() + EXCHANGE_LIMIT },
      (error, answer: NodeDigest | undefined) => {
        this.#pending.delete(address);
        if (error === null && answer !== undefined) this.#hear(answer);
      },
    );
  }

  #hear(digest: NodeDigest): void {
    const { knowledge, clock } = this.#parts;
    knowledge.peers.heard(clock.now(), digest);
    this.#parts.owners.refresh();
    this.#fetch.askAhead();
  }

  #client(address: string): RelayPeersClient {
    return new RelayPeersClient(address, credentials.createInsecure(), {
      channelOverride: this.#parts.channels.channel(address),
    });
  }
}
