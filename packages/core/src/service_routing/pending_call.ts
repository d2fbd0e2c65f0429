import {
  assertInvariant,
  type AttemptNumber,
  attemptNumber,
  type BackendServerId,
  type Failure,
  type Instant,
  later,
  type RequestId,
  type RunOutcome,
} from "../shared/mod.ts";
import {
  type AttemptResult,
  isProvenNotRun,
  type RoutedCall,
} from "./service_call.ts";
import type { ServiceTerms } from "./service_terms.ts";

/** A call that has no answer yet, with all its attempts. */
export class PendingCall {
  readonly id: RequestId;
  readonly repeatable: boolean;
  readonly arrivedAt: Instant;
  readonly terms: ServiceTerms;
  readonly tried = new Set<BackendServerId>();
  readonly #inFlight = new Set<AttemptNumber>();
  #attempts = 0;
  /** Attempts of which it is not proven that they did not run. */
  #possibleRuns = 0;
  #lastAnswered: AttemptNumber | undefined;
  #lastFailure: Failure | undefined;

  /**
   * @param routed The call.
   * @param arrivedAt When it arrived.
   * @param terms What bounds it.
   */
  constructor(routed: RoutedCall, arrivedAt: Instant, terms: ServiceTerms) {
    this.id = routed.call;
    this.repeatable = routed.repeatable;
    this.arrivedAt = arrivedAt;
    this.terms = terms;
  }

  /** When it is given up. */
  get deadline(): Instant {
    return later(this.arrivedAt, this.terms.giveUpAfter);
  }

  /** How many attempts were made. */
  get attempts(): number {
    return this.#attempts;
  }

  /** The attempts that have not ended. */
  get inFlight(): ReadonlySet<AttemptNumber> {
    return this.#inFlight;
  }

  /** What is known of whether it ran, as long as it has no answer. */
  get outcome(): RunOutcome {
    return this.#possibleRuns === 0 ? "not_run" : "unknown";
  }

  /** The last failed attempt's failure. */
  get lastFailure(): Failure | undefined {
    return this.#lastFailure;
  }

  /** The last attempt that got an answer, though not a good one. */
  get lastAnswered(): AttemptNumber | undefined {
    return this.#lastAnswered;
  }

  /**
   * Makes a further attempt.
   * @param server Where.
   * @returns Its number.
   */
  dispatch(server: BackendServerId): AttemptNumber {
    assertInvariant(
      this.repeatable || this.#possibleRuns === 0,
      "not_repeatable_dispatched_once",
      () => `Call ${this.id} may have run and would be sent to ${server}.`,
    );
    this.#attempts += 1;
    this.#possibleRuns += 1;
    this.tried.add(server);
    const attempt = attemptNumber(this.#attempts);
    this.#inFlight.add(attempt);
    return attempt;
  }

  /**
   * Takes note of an attempt's end.
   * @param attempt The attempt.
   * @param result How it ended.
   */
  end(attempt: AttemptNumber, result: AttemptResult): void {
    this.#inFlight.delete(attempt);
    if (isProvenNotRun(result)) this.#possibleRuns -= 1;
    if (result.kind === "failed") this.#lastFailure = result.failure;
    else this.#lastAnswered = attempt;
  }
}
