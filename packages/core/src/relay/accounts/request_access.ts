import type { ApiKeyDigest, Duration } from "../../shared/mod.ts";
import type { AccountTable } from "./account_table.ts";
import type { ClientAccount } from "./client_account.ts";

/** Whether a request may run, and for which account. */
export type RequestAccess =
  | { readonly kind: "granted"; readonly account: ClientAccount | undefined }
  /** No account has its key. */
  | { readonly kind: "unknown_key" }
  /**
   * This node can't tell: its configuration may be too old. Nodes that have a
   * newer one can.
   */
  | { readonly kind: "stale" };

/** What decides on a request's access. */
export interface AccessTerms {
  /** The accounts; `undefined` if requests need no API keys. */
  readonly accounts: AccountTable | undefined;
  /** Whether the request's route needs no API key. */
  readonly isAnonymous: boolean;
  /** The digest of the request's key, if it has one. */
  readonly key: ApiKeyDigest | undefined;
  /** The age of the proof that this node has the newest configuration. */
  readonly configurationAge: Duration | undefined;
  /**
   * How long after its acknowledgement a revocation must be in force at every
   * node; `undefined` if nodes that are out of touch may lag behind.
   */
  readonly revocationTime: Duration | undefined;
}

/**
 * Decides whether a request may run. Fails closed: a node that can't prove that
 * it has all configurations acknowledged one revocation time ago neither admits
 * a key, which may have been revoked, nor rejects one for good, which may have
 * been added.
 * @param terms What decides.
 * @returns The decision.
 */
export function decideAccess(terms: AccessTerms): RequestAccess {
  const { accounts, isAnonymous, key } = terms;
  const account = key === undefined ? undefined : accounts?.find(key);
  if (accounts === undefined || isAnonymous) {
    return { kind: "granted", account };
  }
  if (!isCurrent(terms)) return { kind: "stale" };
  return account === undefined
    ? { kind: "unknown_key" }
    : { kind: "granted", account };
}

function isCurrent(
  { configurationAge, revocationTime }: AccessTerms,
): boolean {
  if (revocationTime === undefined) return true;
  return configurationAge !== undefined && configurationAge < revocationTime;
}
