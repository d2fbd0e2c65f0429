import type { Instant } from "../shared/mod.ts";
import { TARGET_RATIO } from "./class_counts.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * Tells whether a running request may be preempted for an urgent one.
 * @param running The running request.
 * @param urgent The urgent request.
 * @returns Whether the running request's target is long enough.
 */
export function givesWay(
  running: WaitingRequest,
  urgent: WaitingRequest,
): boolean {
  return running.target >= TARGET_RATIO * urgent.target;
}

/**
 * Chooses the running request that loses least by preemption. Requests without
 * a first token come before those with one, then the latest deadline decides.
 * @param now The present time.
 * @param running The running requests.
 * @param urgent The urgent request.
 * @returns The request to preempt, or nothing.
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

/**
 * Tells whether a request has its first token or enough time left. A request
 * without a first token is not preempted close to its own deadline.
 */
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
