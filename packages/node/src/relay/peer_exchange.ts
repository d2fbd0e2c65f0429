import {
  backendServerId,
  elapsed,
  type ExchangeNode,
  type ExchangePartners,
  exchangePartners,
  type Instant,
  milliseconds,
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
import type { PartLogger } from "../logging/part_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import { serveUse } from "./adapter_grants.ts";
import type { EngineOwners } from "./engine_owners.ts";
import {
  answerExchange,
  ExchangePartner,
  type ExchangeWishes,
} from "./exchange_partner.ts";
import type { Knowledge } from "./knowledge.ts";
import { KnowledgeFetch } from "./knowledge_fetch.ts";
import { writeKnowledge } from "./knowledge_message.ts";
import type { NodeRecord } from "./shared_log.ts";

/** Between two exchanges of nodes that pass on what they hear, in milliseconds. */
const HUB_PERIOD = 300;
/** Between two exchanges of other nodes that place requests. */
const MEMBER_PERIOD = 600;
/** Between two exchanges of nodes that stand by. */
const STANDBY_PERIOD = 1_000;
/** News of so many milliseconds go out together. */
const GATHERING_TIME = 5;
/** After so many milliseconds, an exchange counts as unanswered. */
const EXCHANGE_LIMIT = 500;
/** So long, a hub that has not answered is passed over for another one. */
const FAILURE_MEMORY = milliseconds(2_000);
/** What exchanges work with. */
export interface PeerExchangeParts {
  readonly self: Omit<ExchangeNode, "isServing">;
  readonly knowledge: Knowledge;
  readonly owners: EngineOwners;
  readonly channels: PeerChannels;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
  /** What this node says of itself. */
  readonly digest: () => NodeDigest;
}

interface ChosenPartners extends Omit<ExchangePartners, "partners"> {
  readonly partners: readonly NodeRecord[];
}

/** Exchanges digests with the other nodes, both ways in one call. */
export class PeerExchange {
  readonly #parts: PeerExchangeParts;
  readonly #pending = new Set<string>();
  /** What the node at an address has told and has been told. */
  readonly #partnersByAddress = new Map<string, ExchangePartner>();
  /** When a node at an address last did not answer. */
  readonly #failedAt = new Map<string, Instant>();
  readonly #fetch: KnowledgeFetch;
  #period = HUB_PERIOD;
  #timer: NodeJS.Timeout | undefined;
  #newsTimer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /** @param parts What it works with. */
  constructor(parts: PeerExchangeParts) {
    this.#parts = parts;
    this.#fetch = new KnowledgeFetch({
      ...parts,
      client: (address) => this.#client(address),
    });
  }

  /** Between two exchanges that this node begins, in milliseconds. */
  get period(): number {
    return this.#period;
  }

  /** The gRPC service that answers the peers. */
  get registration(): PeerRegistration {
    const { owners } = this.#parts;
    return {
      definition: RelayPeersService,
      implementation: {
        useAdapter: (call: ServerWritableStream<AdapterUse, AdapterGrant>) => {
          this.#parts.knowledge.work.count("use_answered");
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
          knowledge.work.count("knowledge_answered");
          answer(null, writeKnowledge(knowledge, call.request));
        },
      },
    };
  }

  /** Starts to exchange. */
  start(): void {
    this.#timer = setTimeout(() => {
      this.exchange();
    }, this.#period);
  }

  /** Exchanges with partners ahead of time, since there is news. */
  exchangeSoon(): void {
    if (this.#isStopped) return;
    this.#newsTimer ??= setTimeout(() => {
      this.#newsTimer = undefined;
      this.exchange();
    }, GATHERING_TIME);
  }

  /** Stops. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#newsTimer);
    this.#fetch.stop();
  }

  /** Exchanges with this node's partners now. */
  exchange(): void {
    const { knowledge, clock, channels } = this.#parts;
    const now = clock.now();
    channels.retain(knowledge.peers.addresses);
    const chosen = this.#partners(now);
    this.#period = this.#periodOf(chosen);
    const own = this.#parts.digest();
    const wishes = {
      wantsOthers: chosen.isRelayed,
      wantsEngines: knowledge.serving.isActive(now),
    };
    for (const { address } of chosen.partners) {
      this.#exchangeWith(address, own, wishes);
    }
    this.#fetch.askWithoutLog(now);
    if (this.#isStopped) return;
    clearTimeout(this.#timer);
    this.start();
  }

  #periodOf({ isRelayed, isHub }: ChosenPartners): number {
    if (!isRelayed || isHub) return HUB_PERIOD;
    const { knowledge, clock } = this.#parts;
    return knowledge.serving.isActive(clock.now())
      ? MEMBER_PERIOD
      : STANDBY_PERIOD;
  }

  /** Whom to ask now; nodes that have just not answered are left out. */
  #partners(now: Instant): ChosenPartners {
    const { knowledge, self } = this.#parts;
    const { serving } = knowledge;
    const contacts = knowledge.peers.contacts(now);
    const byId = new Map(contacts.map((contact) => [contact.id, contact]));
    const reachable = knowledge.peers.candidates(now)
      .filter(({ address }) => !this.#hasFailed(now, address))
      .map(({ id, failureDomain }) => ({
        id,
        failureDomain,
        isServing: serving.has(id),
      }));
    const chosen = exchangePartners(
      { ...self, isServing: serving.has(self.id) },
      reachable,
    );
    // While few are known, all that may be there are asked.
    if (!chosen.isRelayed) return { ...chosen, partners: contacts };
    const partners = chosen.partners.flatMap((id) => byId.get(id) ?? []);
    return { ...chosen, partners };
  }

  #hasFailed(now: Instant, address: string): boolean {
    const failedAt = this.#failedAt.get(address);
    return failedAt !== undefined && elapsed(failedAt, now) < FAILURE_MEMORY;
  }

  #exchangeWith(
    address: string,
    own: NodeDigest,
    wishes: ExchangeWishes,
  ): void {
    if (this.#pending.has(address)) return;
    this.#pending.add(address);
    this.#parts.knowledge.work.count("exchange_asked");
    const partner = this.#partnerAt(address);
    this.#client(address).exchange(
      partner.question(own, wishes),
      new Metadata(),
      { deadline: Date.now() + EXCHANGE_LIMIT },
      (error, answer: ExchangeAnswer | undefined) => {
        this.#pending.delete(address);
        const now = this.#parts.clock.now();
        if (error !== null || answer === undefined) {
          this.#failed(now, address, wishes);
          return;
        }
        this.#failedAt.delete(address);
        this.#heard(partner.answered(now, answer, wishes));
      },
    );
  }

  #partnerAt(address: string): ExchangePartner {
    const { self, knowledge } = this.#parts;
    const known = this.#partnersByAddress.get(address) ??
      new ExchangePartner(self.id, knowledge.peers);
    this.#partnersByAddress.set(address, known);
    return known;
  }

  /** Passes over a node that did not answer, and asks another hub at once. */
  #failed(now: Instant, address: string, wishes: ExchangeWishes): void {
    const isFirst = !this.#hasFailed(now, address);
    this.#failedAt.set(address, now);
    if (isFirst && wishes.wantsOthers) this.exchangeSoon();
  }

  #answer(question: ExchangeQuestion): ExchangeAnswer {
    const { knowledge, clock } = this.#parts;
    const now = clock.now();
    knowledge.work.count("exchange_answered");
    const { own } = question;
    if (own !== undefined) this.#heard(knowledge.peers.heard(now, own));
    return answerExchange(now, knowledge.peers, this.#parts.digest(), question);
  }

  #heard(isNews: boolean): void {
    if (isNews) this.#parts.owners.refresh();
    this.#fetch.askAhead();
  }

  #client(address: string): RelayPeersClient {
    return new RelayPeersClient(address, credentials.createInsecure(), {
      channelOverride: this.#parts.channels.channel(address),
    });
  }
}
