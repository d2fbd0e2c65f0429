import type { Instant } from "../shared/mod.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Work gives way only to work whose target is so much shorter. */
export const TARGET_RATIO = 4;

/**
 * Tells whether running work may give its place to a request.
 * @param running The running request.
 * @param urgent The request that wants its place.
 * @returns Whether its target is long enough.
 */
export function givesWay(
  running: WaitingRequest,
  urgent: WaitingRequest,
): boolean {
  return running.target >= TARGET_RATIO * urgent.target;
}

/**
 * Chooses the running request that loses least by giving up its place: one
 * without a first token before one with, then the one with the most slack.
 * @param now The present time.
 * @param running The running requests.
 * @param urgent The request that wants a place.
 * @returns The request to displace, or nothing.
 */
export function chooseDisplaced(
  now: Instant,
  running: Iterable<WaitingRequest>,
  urgent: WaitingRequest,
): WaitingRequest | undefined {
  let best: WaitingRequest | undefined;
  for (const candidate of running) {
    if (!givesWay(candidate, urgent)) continue;
    if (slackShare(now, candidate) < slackShare(now, urgent)) continue;
    if (best === undefined || losesLess(candidate, best)) best = candidate;
  }
  return best;
}

function slackShare(now: Instant, request: WaitingRequest): number {
  if (request.firstTokenAt !== undefined) return Infinity;
  return (request.deadline - now) / request.target;
}

function losesLess(candidate: WaitingRequest, best: WaitingRequest): boolean {
  const started = candidate.firstTokenAt !== undefined;
  const bestStarted = best.firstTokenAt !== undefined;
  if (started !== bestStarted) return !started;
  return candidate.deadline > best.deadline;
}
