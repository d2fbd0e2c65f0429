import {
  type ClaimEvidence,
  DeliveryRules,
  type FailedAttempt,
  type Failure,
  type NextStep,
} from "@foxtailwind/core";

/** One rule of delivery replaced by a wrong one. */
export interface OutcomeMutant {
  readonly name: string;
  /** The invariant that is expected to notice. */
  readonly invariant: string;
  readonly rules: DeliveryRules;
}

class SaysNotRunOnTimeout extends DeliveryRules {
  override outcomeOf(failures: readonly Failure[]): Failure["outcome"] {
    const outcome = super.outcomeOf(failures);
    return outcome === "unknown" ? "not_run" : outcome;
  }
}

class JudgesByLastAttempt extends DeliveryRules {
  override outcomeOf(failures: readonly Failure[]): Failure["outcome"] {
    return failures.at(-1)?.outcome ?? "not_run";
  }
}

class RetriesUnknown extends DeliveryRules {
  override nextStep(attempt: FailedAttempt): NextStep {
    const step = super.nextStep(attempt);
    return step === "give_up" && attempt.passedTokens === 0 ? "restart" : step;
  }
}

class RestartsPassedStreams extends DeliveryRules {
  override nextStep(attempt: FailedAttempt): NextStep {
    return super.nextStep({ ...attempt, passedTokens: 0, receivedTokens: 0 });
  }
}

class AcceptsLateFrames extends DeliveryRules {
  override acceptsAttempt(): boolean {
    return true;
  }
}

class EndsIncomplete extends DeliveryRules {
  override mayEndIncomplete(): boolean {
    return true;
  }
}

class RunsForeignScopes extends DeliveryRules {
  override mayRunScope(): boolean {
    return true;
  }
}

class SkipsClaim extends DeliveryRules {
  override needsClaim(): boolean {
    return false;
  }
}

class TrustsAppendAnswer extends DeliveryRules {
  override mayRunClaimed(evidence: ClaimEvidence): boolean {
    return evidence.appended;
  }
}

class IgnoresLowerClaims extends DeliveryRules {
  override mayRunClaimed(evidence: ClaimEvidence): boolean {
    return evidence.readBack;
  }
}

class FreesUnknownKeys extends DeliveryRules {
  override freesKey(outcome: Failure["outcome"]): boolean {
    return outcome !== "ran";
  }
}

class ForgetsOutcomes extends DeliveryRules {
  override freesKey(): boolean {
    return true;
  }
}

class AcceptsOldEpochs extends DeliveryRules {
  override acceptsEpoch(): boolean {
    return true;
  }
}

class AcceptsExpiredScopes extends DeliveryRules {
  override acceptsExpiry(): boolean {
    return true;
  }
}

/** Deliberate faults of delivery, each of which an invariant has to notice. */
export const outcomeMutants: readonly OutcomeMutant[] = [
  {
    name: "say not run on a timeout",
    invariant: "not_run_means_not_run",
    rules: new SaysNotRunOnTimeout(),
  },
  {
    name: "judge a request by its last attempt only",
    invariant: "not_run_means_not_run",
    rules: new JudgesByLastAttempt(),
  },
  {
    name: "retry an unknown that is not repeatable",
    invariant: "at_most_once",
    rules: new RetriesUnknown(),
  },
  {
    name: "restart a stream that is partly passed on",
    invariant: "answer_is_whole",
    rules: new RestartsPassedStreams(),
  },
  {
    name: "accept a late frame",
    invariant: "own_answer_only",
    rules: new AcceptsLateFrames(),
  },
  {
    name: "end a stream that lacks tokens",
    invariant: "answer_is_whole",
    rules: new EndsIncomplete(),
  },
  {
    name: "run a foreign incarnation's key",
    invariant: "at_most_once",
    rules: new RunsForeignScopes(),
  },
  {
    name: "skip the claim",
    invariant: "at_most_once",
    rules: new SkipsClaim(),
  },
  {
    name: "trust the answer of an append without reading back",
    invariant: "at_most_once",
    rules: new TrustsAppendAnswer(),
  },
  {
    name: "run on a claim that is not the lowest",
    invariant: "at_most_once",
    rules: new IgnoresLowerClaims(),
  },
  {
    name: "free a key whose run is unknown",
    invariant: "at_most_once",
    rules: new FreesUnknownKeys(),
  },
  {
    name: "forget the outcome of a key",
    invariant: "at_most_once",
    rules: new ForgetsOutcomes(),
  },
  {
    name: "accept a key older than the claims kept",
    invariant: "at_most_once",
    rules: new AcceptsOldEpochs(),
  },
  {
    name: "accept a key of an expired scope",
    invariant: "at_most_once",
    rules: new AcceptsExpiredScopes(),
  },
];
