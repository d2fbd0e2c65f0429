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
  type AgedDigest,
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
import type { Knowledge } from "./knowledge.ts";
import { KnowledgeFetch } from "./knowledge_fetch.ts";
import { writeKnowledge } from "./knowledge_message.ts";
import type { NodeRecord } from "./shared_log.ts";

/** Between two exchanges with each peer, in milliseconds. */
const EXCHANGE_PERIOD = 300;
/** Nodes that ask a hub do so once in so many periods. */
const MEMBER_PERIODS = 2;
/** News of so many milliseconds go out together. */
const GATHERING_TIME = 5;
/** After so many milliseconds, an exchange counts as unanswered. */
const EXCHANGE_LIMIT = 500;
/** So long, a hub that has not answered is passed over for another one. */
const FAILURE_MEMORY = milliseconds(2_000);

/** What exchanges work with. */
export interface PeerExchangeParts {
  readonly self: ExchangeNode;
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
  /** Whether this node asks a hub, and none asks it. */
  #isMember = false;
  #periods = 0;
  /** When a node at an address last did not answer. */
  readonly #failedAt = new Map<string, Instant>();
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
          call: ServerUnaryCall<ExchangeQuestion, ExchangeAnswer>,
          answer: sendUnaryData<ExchangeAnswer>,
        ) => {
          answer(null, this.#answer(call.request));
        },
        fetchKnowledge: (
          call: ServerUnaryCall<KnowledgeRequest, KnowledgeMessage>,
          answer: sendUnaryData<KnowledgeMessage>,
        ) => {
          answer(null, writeKnowledge(this.#parts.knowledge, call.request));
        },
      },
    };
  }

  /** Starts to exchange. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#periods += 1;
      const isDue = !this.#isMember || this.#periods % MEMBER_PERIODS === 0;
      if (isDue) this.exchange();
    }, EXCHANGE_PERIOD);
  }

  /** Exchanges with this node's partners now. */
  exchange(): void {
    const { knowledge, clock, channels } = this.#parts;
    const { peers } = knowledge;
    const now = clock.now();
    channels.retain(peers.addresses);
    const own = this.#parts.digest();
    const { partners, isRelayed, isHub } = this.#partners(now);
    this.#isMember = isRelayed && !isHub;
    const question: ExchangeQuestion = {
      own,
      known: isRelayed ? [...peers.known] : [],
      wantsOthers: isRelayed,
    };
    for (const { address } of partners) this.#exchangeWith(address, question);
    this.#fetch.askWithoutLog(now);
  }

  /** Exchanges with partners ahead of time, since there is news. */
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

  /** Whom to ask now; nodes that have just not answered are left out. */
  #partners(now: Instant): ChosenPartners {
    const { knowledge, self } = this.#parts;
    const contacts = knowledge.peers.contacts(now);
    const byId = new Map(contacts.map((contact) => [contact.id, contact]));
    const reachable = knowledge.peers.candidates(now).filter(({ address }) =>
      !this.#hasFailed(now, address)
    );
    const chosen = exchangePartners(self, reachable);
    // While few are known, all that may be there are asked.
    if (!chosen.isRelayed) return { ...chosen, partners: contacts };
    const partners = chosen.partners.flatMap((id) => byId.get(id) ?? []);
    return { ...chosen, partners };
  }

  #hasFailed(now: Instant, address: string): boolean {
    const failedAt = this.#failedAt.get(address);
    return failedAt !== undefined && elapsed(failedAt, now) < FAILURE_MEMORY;
  }

  #exchangeWith(address: string, question: ExchangeQuestion): void {
    if (this.#pending.has(address)) return;
    this.#pending.add(address);
    this.#client(address).exchange(
      question,
      new Metadata(),
      { deadline: Date.now() + EXCHANGE_LIMIT },
      (error, answer: ExchangeAnswer | undefined) => {
        this.#pending.delete(address);
        if (error !== null || answer === undefined) {
          this.#failedAt.set(address, this.#parts.clock.now());
          return;
        }
        this.#failedAt.delete(address);
        // Its first digest is the answering node's own.
        const [teller, ...others] = answer.digests;
        this.#hear(teller?.digest, others);
      },
    );
  }

  #answer({ own, known, wantsOthers }: ExchangeQuestion): ExchangeAnswer {
    const digests = [{ digest: this.#parts.digest(), ageMilliseconds: 0 }];
    this.#hear(own, []);
    if (!wantsOthers) return { digests };
    const { knowledge, clock } = this.#parts;
    const asker = own?.node;
    const others = knowledge.peers.newerThan(clock.now(), known)
      .filter(({ digest }) => digest?.node !== asker);
    return { digests: [...digests, ...others] };
  }

  /** Takes what a node says of itself, and what it passes on of others. */
  #hear(teller: NodeDigest | undefined, others: readonly AgedDigest[]): void {
    const { knowledge, clock, self } = this.#parts;
    const { peers } = knowledge;
    const now = clock.now();
    let isNews = teller !== undefined && peers.heard(now, teller);
    for (const { digest, ageMilliseconds } of others) {
      if (digest === undefined || digest.node === self.id) continue;
      const age = milliseconds(ageMilliseconds);
      if (peers.heard(now, digest, { age, isRelayed: true })) isNews = true;
    }
    if (isNews) this.#parts.owners.refresh();
    this.#fetch.askAhead();
  }

  #client(address: string): RelayPeersClient {
    return new RelayPeersClient(address, credentials.createInsecure(), {
      channelOverride: this.#parts.channels.channel(address),
    });
  }
}
