import type { Instant } from "../shared/mod.ts";
import { PREEMPTION_TARGET_RATIO } from "./class_counts.ts";
import type { EngineRequest } from "./engine_request.ts";

/**
 * Tells whether a running request may be preempted for an urgent one.
 * @param running The running request.
 * @param urgent The urgent request.
 * @returns Whether the running request's target is long enough.
 */
export function isPreemptible(
  running: EngineRequest,
  urgent: EngineRequest,
): boolean {
  return running.target >= PREEMPTION_TARGET_RATIO * urgent.target;
}

/**
 * Chooses the running request that loses least by preemption. Requests without
 * a first token come before those with one, then the latest deadline decides.
 * @param now The present time.
 * @param running The running requests.
 * @param urgent The urgent request.
 * @returns The request to preempt, or nothing.
 */
export function choosePreempted(
  now: Instant,
  running: Iterable<EngineRequest>,
  urgent: EngineRequest,
): EngineRequest | undefined {
  let best: EngineRequest | undefined;
  for (const candidate of running) {
    if (!isPreemptible(candidate, urgent)) continue;
    if (!hasEnoughSlack(now, candidate, urgent)) continue;
    if (best === undefined || isCheaperToPreempt(candidate, best)) {
      best = candidate;
    }
  }
  return best;
}

/**
 * Tells whether a request has its first token or enough time left. A request
 * without a first token is not preempted close to its own deadline.
 */
function hasEnoughSlack(
  now: Instant,
  candidate: EngineRequest,
  urgent: EngineRequest,
): boolean {
  if (candidate.firstTokenAt !== undefined) return true;
  return candidate.deadline - now >= PREEMPTION_TARGET_RATIO * urgent.target;
}

function isCheaperToPreempt(
  candidate: EngineRequest,
  best: EngineRequest,
): boolean {
  const hasFirstToken = candidate.firstTokenAt !== undefined;
  const bestHasFirstToken = best.firstTokenAt !== undefined;
  if (hasFirstToken !== bestHasFirstToken) return !hasFirstToken;
  return candidate.deadline > best.deadline;
}
