import {
  AccountQuotaMeter,
  type ClientAccount,
  type ClientAccountId,
  clientAccountId,
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  nodeId,
  type PeerQuotaUse,
  quotaCost,
  type QuotaMembership,
} from "@foxtailwind/core";
import type { AccountUse } from "@foxtailwind/protocol";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { Knowledge } from "../knowledge.ts";

/** The interval at which the peers' reports are read. */
const REFRESH_INTERVAL = milliseconds(250);
/** The shortest time after which a refused caller is asked to come back. */
const MINIMUM_RETRY_MILLISECONDS = 100;
/** The largest demand that the field of a message holds. */
const MAXIMUM_DEMAND = 2 ** 32 - 1;
/** Retry times are rounded up to this unit. */
const RETRY_UNIT_MILLISECONDS = 10;

/** The dependencies of {@link AccountQuotas}. */
export interface AccountQuotasParts {
  readonly knowledge: Pick<Knowledge, "peers" | "routes">;
  readonly clock: SteadyClock;
  /** What all nodes may admit beyond a quota, in its units. */
  readonly slack: number;
  /** Counts the nodes heard of lately, including this one and silent ones. */
  readonly countNodes: () => number;
}

/** Whether an account's quota admits a request. */
export type Admission =
  | {
    readonly kind: "admitted";
    /** What it cost of the quota. */
    readonly cost: number;
  }
  | { readonly kind: "refused"; readonly retryAfter: Duration };

/** A request whose cost may be refunded. */
export interface ChargedRequest {
  readonly account: ClientAccount | undefined;
  readonly quotaCost: number;
}

/** Enforces the quotas of client accounts together with the other nodes. */
export class AccountQuotas {
  readonly #parts: AccountQuotasParts;
  readonly #meters = new Map<ClientAccountId, AccountQuotaMeter>();
  #peerUses: ReadonlyMap<ClientAccountId, readonly PeerQuotaUse[]> = new Map();
  #membership: QuotaMembership = { present: 1, known: 1 };
  #refreshedAt: Instant | undefined;

  /** @param parts The dependencies. */
  constructor(parts: AccountQuotasParts) {
    this.#parts = parts;
  }

  /** What this node has used of each quota, for its peers. */
  get ownUses(): readonly AccountUse[] {
    const now = this.#parts.clock.now();
    return [...this.#meters].flatMap(([account, meter]) => {
      const { admitted, demand } = meter.use(now);
      const rounded = Math.min(MAXIMUM_DEMAND, Math.round(demand));
      return rounded === 0
        ? []
        : [{ account, admitted: encodeAdmitted(admitted), demand: rounded }];
    });
  }

  /**
   * Takes the cost of a request from its account's quota.
   * @param account The account; a request without one costs nothing.
   * @param tokens The tokens that the request states, if it states any.
   * @returns Whether the request is admitted.
   */
  tryTake(
    account: ClientAccount | undefined,
    tokens: number | undefined,
  ): Admission {
    if (account?.quota === undefined) return { kind: "admitted", cost: 0 };
    const now = this.#parts.clock.now();
    this.#refreshIfDue(now);
    const cost = quotaCost(account.quota, tokens);
    const decision = this.#meterOf(now, account.id).tryTake(now, cost, {
      quota: account.quota,
      slack: this.#parts.slack,
      membership: this.#membership,
    });
    return decision.kind === "admitted"
      ? { kind: "admitted", cost }
      : { kind: "refused", retryAfter: roundRetry(decision.retryAfter) };
  }

  /**
   * Puts back what was taken for a request that no server has run.
   * @param request The request.
   */
  refund({ account, quotaCost: cost }: ChargedRequest): void {
    if (account !== undefined) this.#meters.get(account.id)?.refund(cost);
  }

  /**
   * Applies the peers' reports, and drops accounts that were removed.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    this.#refreshedAt = now;
    if (this.#meters.size === 0) return;
    const { knowledge, countNodes } = this.#parts;
    const peers = knowledge.peers.alive(now);
    this.#membership = { present: peers.length + 1, known: countNodes() };
    const uses = new Map<ClientAccountId, PeerQuotaUse[]>();
    for (const { node, incarnation, engineStates } of peers) {
      for (const { account, ...use } of engineStates?.accounts ?? []) {
        const id = clientAccountId(account);
        const known = uses.get(id) ?? [];
        known.push({ ...use, node: nodeId(node), incarnation });
        uses.set(id, known);
      }
    }
    this.#peerUses = uses;
    const accounts = knowledge.routes?.accounts;
    for (const [id, meter] of this.#meters) {
      if (accounts?.has(id) === true) {
        meter.applyPeers(now, uses.get(id) ?? []);
      } else this.#meters.delete(id);
    }
  }

  #refreshIfDue(now: Instant): void {
    const isDue = this.#refreshedAt === undefined ||
      elapsed(this.#refreshedAt, now) >= REFRESH_INTERVAL;
    if (isDue) this.refresh(now);
  }

  #meterOf(now: Instant, id: ClientAccountId): AccountQuotaMeter {
    const known = this.#meters.get(id);
    if (known !== undefined) return known;
    const meter = new AccountQuotaMeter(now);
    this.#meters.set(id, meter);
    if (this.#meters.size === 1) this.refresh(now);
    else meter.applyPeers(now, this.#peerUses.get(id) ?? []);
    return meter;
  }
}

/**
 * Fits a count into a message. It is below zero after a refund to an account
 * that was removed and added again meanwhile.
 */
function encodeAdmitted(admitted: number): number {
  return Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, Math.round(admitted)));
}

function roundRetry(wait: Duration): Duration {
  const rounded = Math.ceil(wait / RETRY_UNIT_MILLISECONDS) *
    RETRY_UNIT_MILLISECONDS;
  return milliseconds(Math.max(MINIMUM_RETRY_MILLISECONDS, rounded));
}
