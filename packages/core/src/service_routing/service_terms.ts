import type { Target } from "../configuration/mod.ts";
import { type Duration, milliseconds } from "../shared/mod.ts";

/** The times that bound the calls of a service. */
export interface ServiceTerms {
  /** Calls that cannot be answered within this are refused early. */
  readonly answerWithin: Duration;
  /** After this a call that was dispatched is given up. */
  readonly giveUpAfter: Duration;
}

const DEFAULT_ANSWER_MILLISECONDS = 2_000;
const GIVE_UP_FACTOR = 5;
const SHORTEST_GIVE_UP_MILLISECONDS = 2_000;
const LONGEST_GIVE_UP_MILLISECONDS = 120_000;

/**
 * Derives the terms from a service's target. A call that is late is still
 * worth its answer, so it is given up only after several times the target.
 * @param target The target, where one is configured.
 * @returns The terms.
 */
export function serviceTerms(target: Target | undefined): ServiceTerms {
  const answerWithin = target?.wholeAnswerMilliseconds ??
    target?.firstTokenMilliseconds ?? DEFAULT_ANSWER_MILLISECONDS;
  const giveUpAfter = Math.max(
    answerWithin,
    Math.min(
      LONGEST_GIVE_UP_MILLISECONDS,
      Math.max(SHORTEST_GIVE_UP_MILLISECONDS, answerWithin * GIVE_UP_FACTOR),
    ),
  );
  return {
    answerWithin: milliseconds(answerWithin),
    giveUpAfter: milliseconds(giveUpAfter),
  };
}
