import type { Instant, NodeId } from "@foxtailwind/core";

/** The quota of the emulated account, in tokens. */
export interface EmulatedQuota {
  readonly rate: number;
  readonly burst: number;
  readonly slack: number;
}

/** What a node tells the others in each exchange. */
export interface QuotaReport {
  readonly node: NodeId;
  readonly incarnation: string;
  readonly admitted: number;
  readonly demand: number;
}

/** What a node knows of the others. */
export interface QuotaView {
  readonly present: number;
  readonly known: number;
  readonly reports: readonly QuotaReport[];
}

/** Lends tokens of the account; undefined if its node can't be reached. */
export type Lender = (amount: number) => number | undefined;

/** The part of one node in enforcing an account's quota. */
export abstract class QuotaEnforcer {
  /** Decides on a request. */
  abstract tryTake(now: Instant, cost: number, quota: EmulatedQuota): boolean;
  /** Returns what the node tells the others. */
  abstract report(now: Instant): { admitted: number; demand: number };
  /** Applies what the node hears. */
  abstract apply(view: QuotaView, now: Instant): void;
}

/** Creates the enforcer of a node that starts. */
export type CreateEnforcer = (
  now: Instant,
  options: { readonly lend: Lender },
) => QuotaEnforcer;
