import type { Instant } from "../shared/mod.ts";
import { TARGET_RATIO } from "./class_counts.ts";
import type { WaitingRequest } from "./waiting_request.ts";

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
    if (!hasTimeLeft(now, candidate, urgent)) continue;
    if (best === undefined || losesLess(candidate, best)) best = candidate;
  }
  return best;
}

/** Work that is near its own deadline is not put aside any more. */
function hasTimeLeft(
  now: Instant,
  candidate: WaitingRequest,
  urgent: WaitingRequest,
): boolean {
  if (candidate.firstTokenAt !== undefined) return true;
  return candidate.deadline - now >= TARGET_RATIO * urgent.target;
}

function losesLess(candidate: WaitingRequest, best: WaitingRequest): boolean {
  const started = candidate.firstTokenAt !== undefined;
  const bestStarted = best.firstTokenAt !== undefined;
  if (started !== bestStarted) return !started;
  return candidate.deadline > best.deadline;
}
