import {
  backendServerId,
  type ExchangeNode,
  type Instant,
} from "@foxtailwind/core";
import {
  type AdapterGrant,
  type AdapterUse,
  type EngineMiss,
  type EngineMissNoted,
  type ExchangeAnswer,
  type ExchangeQuestion,
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
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import { serveAdapterUse } from "./adapter_grants.ts";
import { decodeProofAge, encodeProofAge } from "./accounts/proof_age.ts";
import type { EngineOwners } from "./engine_owners.ts";
import {
  answerExchange,
  ExchangePartner,
  type ExchangeScope,
} from "./exchange_partner.ts";
import type { Knowledge } from "./knowledge.ts";
import { KnowledgeFetcher } from "./knowledge_fetcher.ts";
import { writeKnowledge } from "./knowledge_message.ts";
import { PartnerSelector } from "./partner_selector.ts";
import type { StreamDirectory } from "./streams/stream_directory.ts";

/** How long news are collected before they are sent together. */
const NEWS_BATCH_DELAY_MILLISECONDS = 5;
/** The time after which an exchange counts as unanswered. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 500;

/** The dependencies of {@link PeerExchange}. */
export interface PeerExchangeParts {
  readonly self: Omit<ExchangeNode, "isServing">;
  readonly knowledge: Knowledge;
  readonly owners: EngineOwners;
  readonly streams: Pick<StreamDirectory, "handlers">;
  readonly channels: PeerChannels;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Returns the digest of this node. */
  readonly digest: () => NodeDigest;
}

/** Exchanges digests with the other nodes, in both directions in one call. */
export class PeerExchange {
  readonly #parts: PeerExchangeParts;
  readonly #pending = new Set<string>();
  /** The exchange state of each partner, by address. */
  readonly #partnersByAddress = new Map<string, ExchangePartner>();
  readonly #selector: PartnerSelector;
  readonly #fetcher: KnowledgeFetcher;
  #periodMilliseconds: number;
  #timer: NodeJS.Timeout | undefined;
  #newsTimer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: PeerExchangeParts) {
    this.#parts = parts;
    this.#selector = new PartnerSelector(parts.self, parts.knowledge);
    this.#periodMilliseconds =
      this.#selector.select(parts.clock.now()).periodMilliseconds;
    this.#fetcher = new KnowledgeFetcher({
      ...parts,
      client: (address) => this.#client(address),
    });
  }

  /** The interval between two exchanges that this node begins. */
  get periodMilliseconds(): number {
    return this.#periodMilliseconds;
  }

  /** The gRPC service that answers the peers. */
  get registration(): PeerRegistration {
    const { owners, streams } = this.#parts;
    return {
      definition: RelayPeersService,
      implementation: {
        ...streams.handlers,
        useAdapter: (call: ServerWritableStream<AdapterUse, AdapterGrant>) => {
          this.#parts.knowledge.workCounts.increment("use_answered");
          void serveAdapterUse(owners, call);
        },
        noteMiss: (
          call: ServerUnaryCall<EngineMiss, EngineMissNoted>,
          answer: sendUnaryData<EngineMissNoted>,
        ) => {
          owners.find(backendServerId(call.request.engine))?.recordMiss();
          answer(null, {});
        },
        exchange: (
          call: ServerUnaryCall<ExchangeQuestion, ExchangeAnswer>,
          answer: sendUnaryData<ExchangeAnswer>,
        ) => {
          answer(null, this.#answer(call.request));
        },
        fetchKnowledge: (
          call: ServerUnaryCall<KnowledgeRequest, KnowledgeMessage>,
          answer: sendUnaryData<KnowledgeMessage>,
        ) => {
          const { knowledge } = this.#parts;
          knowledge.workCounts.increment("knowledge_answered");
          answer(null, writeKnowledge(knowledge, call.request));
        },
      },
    };
  }

  /** Schedules the next exchange. */
  start(): void {
    this.#timer = setTimeout(() => {
      this.exchange();
    }, this.#periodMilliseconds);
  }

  /** Exchanges with partners ahead of schedule, to spread news. */
  exchangeSoon(): void {
    if (this.#isStopped) return;
    this.#newsTimer ??= setTimeout(() => {
      this.#newsTimer = undefined;
      this.exchange();
    }, NEWS_BATCH_DELAY_MILLISECONDS);
  }

  /** Stops scheduled exchanges and fetches. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#newsTimer);
    this.#fetcher.stop();
  }

  /** Exchanges with this node's partners now, and schedules the next time. */
  exchange(): void {
    const { knowledge, clock } = this.#parts;
    const now = clock.now();
    this.#retainPartners(knowledge.peers.addresses);
    const selection = this.#selector.select(now);
    this.#periodMilliseconds = selection.periodMilliseconds;
    const own = this.#parts.digest();
    const scope = {
      wantsOthers: selection.isRelayed,
      wantsEngines: knowledge.serving.isActive(now),
    };
    for (const { address } of selection.partners) {
      this.#exchangeWith(address, own, scope);
    }
    this.#fetcher.fetchDuringLogOutage(now);
    if (this.#isStopped) return;
    clearTimeout(this.#timer);
    this.start();
  }

  #exchangeWith(
    address: string,
    own: NodeDigest,
    scope: ExchangeScope,
  ): void {
    if (this.#pending.has(address)) return;
    this.#pending.add(address);
    this.#parts.knowledge.workCounts.increment("exchange_asked");
    const partner = this.#partnerAt(address);
    const askedAt = this.#parts.knowledge.proofs.now;
    this.#client(address).exchange(
      partner.nextQuestion(own, scope),
      new Metadata(),
      { deadline: Date.now() + EXCHANGE_TIMEOUT_MILLISECONDS },
      (error, answer: ExchangeAnswer | undefined) => {
        this.#pending.delete(address);
        const now = this.#parts.clock.now();
        if (error !== null || answer === undefined) {
          this.#recordFailure(now, address, scope);
          return;
        }
        this.#selector.recordAnswer(address);
        this.#parts.knowledge.applyPeerProof(askedAt, {
          age: decodeProofAge(answer),
          end: answer.own?.operatorsEnd ?? Infinity,
        });
        this.#reactToDigest(partner.applyAnswer(now, answer, scope));
      },
    );
  }

  /** Removes channels and exchange state of all but the given addresses. */
  #retainPartners(kept: ReadonlySet<string>): void {
    this.#parts.channels.retainOnly(kept);
    for (const address of this.#partnersByAddress.keys()) {
      if (!kept.has(address)) this.#partnersByAddress.delete(address);
    }
  }

  #partnerAt(address: string): ExchangePartner {
    const { self, knowledge } = this.#parts;
    const known = this.#partnersByAddress.get(address) ??
      new ExchangePartner(self.id, knowledge.peers);
    this.#partnersByAddress.set(address, known);
    return known;
  }

  /** Records an unanswered exchange, and promptly asks another hub. */
  #recordFailure(now: Instant, address: string, scope: ExchangeScope): void {
    const isFirstFailure = this.#selector.recordFailure(now, address);
    if (isFirstFailure && scope.wantsOthers) this.exchangeSoon();
  }

  #answer(question: ExchangeQuestion): ExchangeAnswer {
    const { knowledge, clock } = this.#parts;
    const now = clock.now();
    knowledge.workCounts.increment("exchange_answered");
    const { own } = question;
    if (own !== undefined) {
      this.#reactToDigest(knowledge.peers.applyDigest(now, own));
    }
    return {
      ...answerExchange(now, knowledge.peers, this.#parts.digest(), question),
      ...encodeProofAge(knowledge.proofs.age),
    };
  }

  #reactToDigest(isStatusChange: boolean): void {
    if (isStatusChange) this.#parts.owners.refresh();
    this.#fetcher.catchUpWithPeers();
  }

  #client(address: string): RelayPeersClient {
    return new RelayPeersClient(address, credentials.createInsecure(), {
      channelOverride: this.#parts.channels.getChannel(address),
    });
  }
}
