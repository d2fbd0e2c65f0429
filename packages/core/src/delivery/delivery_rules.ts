import type { Failure, Instant, RunOutcome } from "../shared/mod.ts";
import type { EpochVerdict } from "./claim_index.ts";

/** What is known when an attempt failed. */
export interface FailedAttempt {
  readonly failure: Failure;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Tokens received, over all attempts that were resumed. */
  readonly received: number;
  /** Tokens already passed on to the caller. */
  readonly passed: number;
  /** Whether the attempt went on with a generation that the engine held. */
  readonly wasResume: boolean;
}

/** How to go on after an attempt failed. */
export type NextStep = "resume" | "restart" | "give_up";

/** Where a claim stands after its append was answered, or not. */
export interface ClaimEvidence {
  /** Whether the append was answered with an offset. */
  readonly appended: boolean;
  /** Whether the record was read back, and with it all records before. */
  readonly readBack: boolean;
  /** Whether the lowest claim read is the node's own. */
  readonly isLowest: boolean;
}

/**
 * The rules on which "at most once" rests. Randomised runs replace single
 * rules to show that the invariants catch the difference.
 */
export class DeliveryRules {
  /**
   * Decides how a request goes on after an attempt failed.
   * @param attempt What is known.
   * @returns The next step; the retry budget may still forbid it.
   */
  nextStep(attempt: FailedAttempt): NextStep {
    const { failure, repeatable, received, passed, wasResume } = attempt;
    const mayRestart = repeatable && passed === 0;
    if (wasResume && isNothingToResume(failure)) {
      return mayRestart ? "restart" : "give_up";
    }
    if (!isPassing(failure)) return "give_up";
    if (received > 0) return "resume";
    return mayRestart || failure.outcome === "not_run" ? "restart" : "give_up";
  }

  /**
   * Decides what the caller is told of a failed request.
   * @param failures All attempts' failures, in order.
   * @returns Whether it ran, as far as is known.
   */
  outcomeOf(failures: readonly Failure[]): Failure["outcome"] {
    const outcomes = new Set(failures.map((failure) => failure.outcome));
    if (outcomes.has("ran")) return "ran";
    if (outcomes.has("unknown")) return "unknown";
    return "not_run";
  }

  /**
   * Decides whether a frame belongs to the present attempt.
   * @param frame The attempt that the frame names.
   * @param present The present attempt.
   */
  acceptsAttempt(frame: number, present: number): boolean {
    return frame === present;
  }

  /**
   * Decides whether a key of a scope may be run by this incarnation.
   * @param scope The incarnation that the scope names.
   * @param self This incarnation.
   */
  mayRunScope(scope: string, self: string): boolean {
    return scope === self;
  }

  /**
   * Decides whether a claim gives the right to run its key.
   * @param evidence What is known of the claim.
   */
  mayRunClaimed(evidence: ClaimEvidence): boolean {
    return evidence.readBack && evidence.isLowest;
  }

  /** Decides whether free keys need a claim at all. */
  needsClaim(): boolean {
    return true;
  }

  /**
   * Decides whether a key may run again after its run ended.
   * @param outcome What is known of the run.
   */
  freesKey(outcome: RunOutcome): boolean {
    return outcome === "not_run";
  }

  /**
   * Decides whether a key may be claimed, given what is known of its epoch.
   * @param verdict Whether all its claims are known.
   */
  acceptsEpoch(verdict: EpochVerdict): boolean {
    return verdict === "covered";
  }

  /**
   * Decides whether a key of a scope may still be run.
   * @param now The present time.
   * @param expiresAt When the scope ends.
   */
  acceptsExpiry(now: Instant, expiresAt: Instant): boolean {
    return now < expiresAt;
  }

  /** Decides whether a stream may end though tokens are missing. */
  mayEndIncomplete(): boolean {
    return false;
  }
}

/** A resume never starts a generation anew: the engine has none, or refuses. */
function isNothingToResume(failure: Failure): boolean {
  return failure.reason === "not_found" || failure.reason === "refused" ||
    failure.reason === "invalid";
}

function isPassing(failure: Failure): boolean {
  switch (failure.reason) {
    case "unavailable":
    case "timeout":
    case "fenced":
    case "corrupt":
      return true;
    case "invalid":
    case "not_found":
    case "conflict":
    case "overloaded":
    case "cancelled":
    case "expired":
    case "mismatch":
    case "refused":
      return false;
  }
}
