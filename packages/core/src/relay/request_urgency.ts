import type { Duration } from "../shared/mod.ts";

/** The values that determine a request's urgency. */
export interface UrgencyBasis {
  /** The time within which its first event is due. */
  readonly target: Duration;
  /** The remaining part of the target, after earlier attempts. */
  readonly remaining: Duration;
  /** How long the engine takes to prefill the prompt. */
  readonly prefillTime: Duration;
  /** The priority of its route; 0 is the most urgent. */
  readonly priority: number;
}

/** The urgency of a request that has all of its target left. */
const FULL_SLACK_URGENCY = 5;
/** The urgency of a request that can no longer meet its target. */
const LATE_URGENCY = 6;
/** The lowest urgency that engines support. */
const LOWEST_URGENCY = 9;

/**
 * Ranks a request by its remaining slack: the less slack, the more urgent.
 * Requests that are late anyway rank behind those that can still be in time, by
 * the priority of their route.
 * @param basis The request's values.
 * @returns 0 to 9, where 0 is the most urgent.
 */
export function requestUrgency(basis: UrgencyBasis): number {
  const { target, remaining: left, prefillTime: reading, priority } = basis;
  const slack = left - reading;
  if (slack < 0) return Math.min(LOWEST_URGENCY, LATE_URGENCY + priority);
  return Math.round(FULL_SLACK_URGENCY * slack / target);
}
