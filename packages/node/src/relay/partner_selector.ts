import {
  elapsed,
  type ExchangeNode,
  type ExchangePartners,
  exchangePartners,
  type Instant,
  milliseconds,
  type NodeId,
} from "@foxtailwind/core";
import type { Knowledge } from "./knowledge.ts";
import type { NodeRecord } from "./shared_log.ts";

/** The exchange period of hubs, which relay what they hear. */
const HUB_PERIOD_MILLISECONDS = 300;
/** The exchange period of other nodes that place requests. */
const MEMBER_PERIOD_MILLISECONDS = 600;
/** The exchange period of standby nodes. */
const STANDBY_PERIOD_MILLISECONDS = 1_000;
/** How long a hub that did not answer is passed over for another one. */
const FAILURE_RETENTION = milliseconds(2_000);

/** The partners of the present exchange, and the time until the next one. */
export interface PartnerSelection
  extends Omit<ExchangePartners, "partners" | "hubs"> {
  readonly partners: readonly NodeRecord[];
  /** The time until the next exchange. */
  readonly periodMilliseconds: number;
  /** The other hubs, those of the node's failure domain first. */
  readonly otherHubs: readonly NodeRecord[];
}

/** Selects the nodes to exchange with and skips those that don't answer. */
export class PartnerSelector {
  readonly #self: Omit<ExchangeNode, "isServing">;
  readonly #knowledge: Knowledge;
  /** The time of the last unanswered exchange, by address. */
  readonly #failedAt = new Map<string, Instant>();

  /**
   * @param self This node.
   * @param knowledge Provides the other nodes and which of them serve.
   */
  constructor(self: Omit<ExchangeNode, "isServing">, knowledge: Knowledge) {
    this.#self = self;
    this.#knowledge = knowledge;
  }

  /**
   * Selects the partners of the next exchange.
   * @param now The present time.
   * @returns The partners and the time until the exchange after it.
   */
  select(now: Instant): PartnerSelection {
    const { peers, serving } = this.#knowledge;
    const contacts = peers.contacts(now);
    const reachable = peers.presentNodes(now)
      .filter(({ address }) => !this.#hasFailedRecently(now, address))
      .map(({ id, failureDomain }) => ({
        id,
        failureDomain,
        isServing: serving.has(id),
      }));
    const self = { ...this.#self, isServing: serving.has(this.#self.id) };
    const chosen = exchangePartners(self, reachable);
    const { isRelayed, isHub } = chosen;
    const periodMilliseconds = this.#periodMilliseconds(now, chosen);
    const kind = { isRelayed, isHub, periodMilliseconds };
    // While few nodes are known, all that may be present are asked.
    if (!isRelayed) return { ...kind, partners: contacts, otherHubs: [] };
    const byId = new Map(contacts.map((contact) => [contact.id, contact]));
    const find = (ids: readonly NodeId[]) =>
      ids.flatMap((id) => byId.get(id) ?? []);
    const partners = find(chosen.partners);
    return { ...kind, partners, otherHubs: find(chosen.hubs) };
  }

  /**
   * Records that a node has answered.
   * @param address The node's address.
   */
  recordAnswer(address: string): void {
    this.#failedAt.delete(address);
  }

  /**
   * Records that a node did not answer.
   * @param now The present time.
   * @param address The node's address.
   * @returns Whether the node was not already being passed over.
   */
  recordFailure(now: Instant, address: string): boolean {
    const isFirstFailure = !this.#hasFailedRecently(now, address);
    this.#failedAt.set(address, now);
    return isFirstFailure;
  }

  #periodMilliseconds(
    now: Instant,
    { isRelayed, isHub }: ExchangePartners,
  ): number {
    if (!isRelayed || isHub) return HUB_PERIOD_MILLISECONDS;
    return this.#knowledge.serving.isActive(now)
      ? MEMBER_PERIOD_MILLISECONDS
      : STANDBY_PERIOD_MILLISECONDS;
  }

  #hasFailedRecently(now: Instant, address: string): boolean {
    const failedAt = this.#failedAt.get(address);
    return failedAt !== undefined && elapsed(failedAt, now) < FAILURE_RETENTION;
  }
}
