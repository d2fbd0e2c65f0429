import type { ApiKeyDigest, ClientAccountId } from "../../shared/mod.ts";

/** What a quota counts. */
export type QuotaUnit = "requests" | "tokens";

/** How much an account may send through all nodes together. */
export interface AccountQuota {
  readonly unit: QuotaUnit;
  /** Units per second. */
  readonly rate: number;
  /** Units that may be sent at once beyond the rate. */
  readonly burst: number;
  /** The tokens that a request without token counts costs. */
  readonly plainTokens: number;
}

/** A client account as operators configure it. */
export interface ClientAccount {
  readonly id: ClientAccountId;
  readonly keys: readonly ApiKeyDigest[];
  /** Takes precedence over the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent if the account is not limited. */
  readonly quota?: AccountQuota;
}

/**
 * Returns what a request costs of its account's quota.
 * @param quota The quota.
 * @param tokens The tokens that the request states, if it states any.
 * @returns The cost in units of the quota.
 */
export function quotaCost(
  quota: AccountQuota,
  tokens: number | undefined,
): number {
  return quota.unit === "requests" ? 1 : tokens ?? quota.plainTokens;
}
