import type { ExchangeNode, Instant } from "@foxtailwind/core";
import type {
  ExchangeAnswer,
  ExchangeQuestion,
  NodeDigest,
} from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import { decodeProofAge, encodeProofAge } from "./accounts/proof_age.ts";
import type { EngineOwners } from "./engine_owners.ts";
import {
  answerExchange,
  ExchangePartner,
  type ExchangeScope,
} from "./exchange_partner.ts";
import type { Knowledge } from "./knowledge.ts";
import { KnowledgeFetcher } from "./knowledge_fetcher.ts";
import { PeerLinks } from "./links/peer_links.ts";
import { type PartnerSelection, PartnerSelector } from "./partner_selector.ts";
import { createPeerService } from "./peer_service.ts";
import { RecentAskers } from "./registry/recent_askers.ts";
import {
  answerRegistry,
  EXCHANGE_TIMEOUT_MILLISECONDS,
} from "./registry/registry_answer.ts";
import {
  decodeRegistryAge,
  decodeRegistryEntries,
  encodeRegistryAge,
} from "./registry/registry_message.ts";
import type { StreamDirectory } from "./streams/stream_directory.ts";

/** How long news are collected before they are sent together. */
const NEWS_BATCH_DELAY_MILLISECONDS = 5;
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
  readonly #links: PeerLinks;
  readonly #pending = new Set<string>();
  /** The exchange state of each partner, by address. */
  readonly #partnersByAddress = new Map<string, ExchangePartner>();
  readonly #selector: PartnerSelector;
  readonly #fetcher: KnowledgeFetcher;
  readonly #askers = new RecentAskers();
  #selection: PartnerSelection;
  #timer: NodeJS.Timeout | undefined;
  #newsTimer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: PeerExchangeParts) {
    this.#parts = parts;
    this.#links = new PeerLinks(parts.channels);
    this.#selector = new PartnerSelector(parts.self, parts.knowledge);
    this.#selection = this.#selector.select(parts.clock.now());
    this.#fetcher = new KnowledgeFetcher({
      ...parts,
      client: (address) => this.#links.createClient(address),
      isPartner: (address) => this.#isPartner(address),
    });
  }

  /** Whether a peer has not answered yet. */
  get isWaiting(): boolean {
    return this.#pending.size > 0;
  }

  /** The interval between two exchanges that this node begins. */
  get periodMilliseconds(): number {
    return this.#selection.periodMilliseconds;
  }

  /** This node's part in spreading news, as of its last exchange. */
  get role(): Pick<PartnerSelection, "isRelayed" | "isHub"> {
    return this.#selection;
  }

  /** The addresses of the other hubs. */
  get hubAddresses(): readonly string[] {
    return this.#selection.otherHubs.map(({ address }) => address);
  }

  /**
   * Lists the nodes that have asked this one lately.
   * @param now The present time.
   * @returns Their addresses.
   */
  askerAddresses(now: Instant): readonly string[] {
    return this.#askers.addresses(now);
  }

  /** The gRPC service that answers the peers. */
  get registration(): PeerRegistration {
    return createPeerService({
      ...this.#parts,
      answerExchange: (question) => this.#answer(question),
    });
  }

  /** Schedules the next exchange. */
  start(): void {
    this.#timer = setTimeout(() => {
      this.exchange();
    }, this.#selection.periodMilliseconds);
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
    this.#selection = this.#selector.select(now);
    const own = this.#parts.digest();
    const scope = this.#scopeAt(now);
    for (const { address } of this.#selection.partners) {
      this.#exchangeWith(address, own, scope);
    }
    this.#fetcher.fetchDuringLogOutage(now);
    if (this.#isStopped) return;
    clearTimeout(this.#timer);
    this.start();
  }

  /** Exchanges with a hub that is not a partner of the present exchange. */
  exchangeWithOtherHub(): void {
    const { partners, otherHubs } = this.#selection;
    const asked = new Set(partners.map(({ address }) => address));
    const hub = otherHubs.find(({ address }) =>
      !asked.has(address) && !this.#pending.has(address)
    );
    if (hub === undefined) return;
    const scope = this.#scopeAt(this.#parts.clock.now());
    this.#exchangeWith(hub.address, this.#parts.digest(), scope);
  }

  #scopeAt(now: Instant): ExchangeScope {
    return {
      wantsOthers: this.#selection.isRelayed,
      wantsEngines: this.#parts.knowledge.serving.isActive(now),
    };
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
    const link = this.#links.getLink(address);
    // A link that doesn't answer may have gone silent: the next question has
    // another one.
    const timer = setTimeout(() => {
      link.close();
    }, EXCHANGE_TIMEOUT_MILLISECONDS);
    void link.exchange({
      ...partner.nextQuestion(own, scope),
      ...encodeRegistryAge(this.#parts.knowledge.registryProofs.age),
    }).then((answer) => {
      clearTimeout(timer);
      this.#pending.delete(address);
      const now = this.#parts.clock.now();
      if (answer === undefined) {
        this.#recordFailure(now, address, scope);
        return;
      }
      this.#selector.recordAnswer(address);
      this.#parts.knowledge.applyPeerProof(askedAt, {
        age: decodeProofAge(answer),
        end: answer.own?.operatorsEnd ?? Infinity,
      });
      this.#applyRegistry(askedAt, answer);
      this.#reactToDigest(partner.applyAnswer(now, answer, scope));
    });
  }

  #applyRegistry(askedAt: Instant, answer: ExchangeAnswer): void {
    const { knowledge } = this.#parts;
    knowledge.applyPeerEntries(decodeRegistryEntries(answer.registry));
    knowledge.registryProofs.recordPeerProof(
      askedAt,
      decodeRegistryAge(answer),
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
      if (question.wantsOthers) this.#askers.record(now, own.address);
    }
    const digest = this.#parts.digest();
    return {
      ...answerExchange(now, knowledge.peers, digest, question),
      ...encodeProofAge(knowledge.proofs.age),
      ...answerRegistry(now, knowledge, question, digest.incarnation),
    };
  }

  #reactToDigest(isStatusChange: boolean): void {
    if (isStatusChange) this.#parts.owners.refresh();
    this.#fetcher.catchUpWithPeers();
  }

  /** While few nodes are known, all of them are partners. */
  #isPartner(address: string): boolean {
    const { isRelayed, partners } = this.#selection;
    return !isRelayed || partners.some((node) => node.address === address);
  }
}
