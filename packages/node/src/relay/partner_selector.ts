import {
  elapsed,
  type ExchangeNode,
  type ExchangePartners,
  exchangePartners,
  type Instant,
  milliseconds,
} from "@foxtailwind/core";
import type { Knowledge } from "./knowledge.ts";
import type { NodeRecord } from "./shared_log.ts";

/** Between two exchanges of nodes that pass on what they hear, in milliseconds. */
const HUB_PERIOD_MILLISECONDS = 300;
/** Between two exchanges of other nodes that place requests. */
const MEMBER_PERIOD_MILLISECONDS = 600;
/** Between two exchanges of nodes that stand by. */
const STANDBY_PERIOD_MILLISECONDS = 1_000;
/** So long, a hub that has not answered is passed over for another one. */
const FAILURE_RETENTION = milliseconds(2_000);

/** Whom a node asks now, and when it does so again. */
export interface PartnerSelection extends Omit<ExchangePartners, "partners"> {
  readonly partners: readonly NodeRecord[];
  /** Until the next exchange, in milliseconds. */
  readonly periodMilliseconds: number;
}

/** Chooses the nodes to exchange with; those that don't answer are passed over. */
export class PartnerSelector {
  readonly #self: Omit<ExchangeNode, "isServing">;
  readonly #knowledge: Knowledge;
  /** When a node at an address last did not answer. */
  readonly #failedAt = new Map<string, Instant>();

  /**
   * @param self This node.
   * @param knowledge Tells which others there are, and which of them serve.
   */
  constructor(self: Omit<ExchangeNode, "isServing">, knowledge: Knowledge) {
    this.#self = self;
    this.#knowledge = knowledge;
  }

  /**
   * Chooses whom to ask.
   * @param now The present time.
   * @returns The nodes.
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
    const period = this.#periodMilliseconds(now, chosen);
    // While few are known, all that may be there are asked.
    if (!chosen.isRelayed) {
      return { ...chosen, periodMilliseconds: period, partners: contacts };
    }
    const byId = new Map(contacts.map((contact) => [contact.id, contact]));
    const partners = chosen.partners.flatMap((id) => byId.get(id) ?? []);
    return { ...chosen, periodMilliseconds: period, partners };
  }

  /**
   * Takes note that a node has answered.
   * @param address Its address.
   */
  recordAnswer(address: string): void {
    this.#failedAt.delete(address);
  }

  /**
   * Takes note that a node did not answer.
   * @param now The present time.
   * @param address Its address.
   * @returns Whether it was to be asked until then.
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
