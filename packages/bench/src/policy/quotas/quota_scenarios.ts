import type { EmulatedQuota } from "./quota_enforcer.ts";

/** What happens to some of the serving nodes for a while. */
export interface NodeFault {
  /** Cut off from the others, frozen, or killed and started again later. */
  readonly kind: "cut" | "frozen" | "killed";
  /** The share of the serving nodes. */
  readonly share: number;
  readonly fromSecond: number;
  readonly untilSecond: number;
}

/** A load on one account's quota. */
export interface QuotaScenario {
  readonly name: string;
  readonly quota: EmulatedQuota;
  /** The usual demand, as a share of the quota's rate. */
  readonly demand: number;
  /** Multiplies the demand between seconds 10 and 22. */
  readonly surge: number;
  /** Replaces the quota's rate and burst from second 10 on. */
  readonly loweredTo?: number;
  /** How unevenly callers are spread: the exponent of a power law. */
  readonly skew: number;
  readonly fault?: NodeFault;
}

const SLACK = 72_000;
const SMALL = { rate: 18_000, burst: 18_000, slack: SLACK };
const LARGE = { rate: 215_000, burst: 215_000, slack: SLACK };
const USUAL = { demand: 0.55, surge: 1, skew: 0.5 };
const CUT = {
  kind: "cut",
  share: 0.35,
  fromSecond: 8,
  untilSecond: 20,
} as const;

/** The scenarios in which the ways are compared. */
export const QUOTA_SCENARIOS: readonly QuotaScenario[] = [
  { ...USUAL, name: "small, usual", quota: SMALL },
  { ...USUAL, name: "large, usual", quota: LARGE },
  { ...USUAL, name: "small, uneven callers", quota: SMALL, skew: 2 },
  { ...USUAL, name: "large, uneven callers", quota: LARGE, skew: 2 },
  { ...USUAL, name: "small, 7.5 times its use", quota: SMALL, surge: 7.5 },
  { ...USUAL, name: "large, 7.5 times its use", quota: LARGE, surge: 7.5 },
  { ...USUAL, name: "large, lowered to a tenth", quota: LARGE, loweredTo: 0.1 },
  { ...USUAL, name: "large, a third cut off", quota: LARGE, fault: CUT },
  {
    ...USUAL,
    name: "large, a third cut off, 7.5 times",
    quota: LARGE,
    surge: 7.5,
    fault: CUT,
  },
  {
    ...USUAL,
    name: "large, a third frozen, 7.5 times",
    quota: LARGE,
    surge: 7.5,
    fault: { ...CUT, kind: "frozen", untilSecond: 12 },
  },
  {
    ...USUAL,
    name: "large, a third killed",
    quota: LARGE,
    fault: { ...CUT, kind: "killed", untilSecond: 12 },
  },
  {
    ...USUAL,
    name: "large, all killed, 7.5 times",
    quota: LARGE,
    surge: 7.5,
    fault: {
      ...CUT,
      kind: "killed",
      share: 1,
      fromSecond: 13,
      untilSecond: 15,
    },
  },
];
