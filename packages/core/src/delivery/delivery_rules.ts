import type { Failure, Instant, RunOutcome } from "../shared/mod.ts";
import type { EpochCoverage } from "./claim_index.ts";

/** What is known about a failed attempt. */
export interface FailedAttempt {
  readonly failure: Failure;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Tokens received so far, including those before a resume. */
  readonly receivedTokens: number;
  /** Tokens already sent to the caller. */
  readonly passedTokens: number;
  /** Whether the attempt resumed a generation that the engine held. */
  readonly wasResume: boolean;
}

/** How a request continues after a failed attempt. */
export type NextStep = "resume" | "restart" | "give_up";

/** What is known about a claim, whether or not its append was answered. */
export interface ClaimEvidence {
  /** Whether the log answered the append with an offset. */
  readonly appended: boolean;
  /** Whether the record and all records before it were read back. */
  readonly readBack: boolean;
  /** Whether the claim with the lowest offset is the node's own. */
  readonly isLowest: boolean;
}

/**
 * The rules that guarantee at-most-once execution. Randomised tests replace
 * single rules to show that the invariants detect the change.
 */
export class DeliveryRules {
  /**
   * Decides how a request continues after a failed attempt.
   * @param attempt What is known about the attempt.
   * @returns The next step; the retry budget may still forbid it.
   */
  nextStep(attempt: FailedAttempt): NextStep {
    const {
      failure,
      repeatable,
      receivedTokens: received,
      passedTokens: passed,
      wasResume,
    } = attempt;
    const mayRestart = repeatable && passed === 0;
    if (wasResume && isResumeImpossible(failure)) {
      return mayRestart ? "restart" : "give_up";
    }
    if (!isTransient(failure)) return "give_up";
    if (received > 0) return "resume";
    return mayRestart || failure.outcome === "not_run" ? "restart" : "give_up";
  }

  /**
   * Combines the outcomes of all failed attempts into one for the caller.
   * @param failures The failures of all attempts, in order.
   * @returns Whether the request ran, as far as is known.
   */
  outcomeOf(failures: readonly Failure[]): Failure["outcome"] {
    const outcomes = new Set(failures.map((failure) => failure.outcome));
    if (outcomes.has("ran")) return "ran";
    if (outcomes.has("unknown")) return "unknown";
    return "not_run";
  }

  /**
   * Decides whether a frame belongs to the current attempt.
   * @param frame The attempt number in the frame.
   * @param present The current attempt.
   */
  acceptsAttempt(frame: number, present: number): boolean {
    return frame === present;
  }

  /**
   * Decides whether this incarnation may run a key with a given scope.
   * @param scope The incarnation in the scope.
   * @param self This incarnation.
   */
  mayRunScope(scope: string, self: string): boolean {
    return scope === self;
  }

  /**
   * Decides whether a claim permits running its key.
   * @param evidence What is known about the claim.
   */
  mayRunClaimed(evidence: ClaimEvidence): boolean {
    return evidence.readBack && evidence.isLowest;
  }

  /** Decides whether free keys have to be claimed before they run. */
  needsClaim(): boolean {
    return true;
  }

  /**
   * Decides whether a key may run again after its run ended.
   * @param outcome Whether the run took place, as far as is known.
   */
  freesKey(outcome: RunOutcome): boolean {
    return outcome === "not_run";
  }

  /**
   * Decides whether a key may be claimed, given its epoch.
   * @param verdict Whether all claims of the key are known.
   */
  acceptsEpoch(verdict: EpochCoverage): boolean {
    return verdict === "covered";
  }

  /**
   * Decides whether a key's scope is still valid.
   * @param now The present time.
   * @param expiresAt When the scope expires.
   */
  acceptsExpiry(now: Instant, expiresAt: Instant): boolean {
    return now < expiresAt;
  }

  /** Decides whether a stream with missing tokens may complete. */
  mayEndIncomplete(): boolean {
    return false;
  }
}

/**
 * Tells whether a resume cannot succeed: the engine does not have the
 * generation or refuses. A resume never starts a new generation.
 */
function isResumeImpossible(failure: Failure): boolean {
  return failure.reason === "not_found" || failure.reason === "refused" ||
    failure.reason === "invalid";
}

function isTransient(failure: Failure): boolean {
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
