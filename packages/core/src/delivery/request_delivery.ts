import {
  assertInvariant,
  type AttemptNumber,
  attemptNumber,
  type Duration,
  type Failure,
  type Instant,
  later,
} from "../shared/mod.ts";
import { AttemptProgress } from "./attempt_state.ts";
import { FrameFilter, type ReceivedFrame } from "./frame_filter.ts";
import type { DeliveryOptions } from "./delivery_options.ts";
import type {
  DeliveryAction,
  DeliveryEvent,
  GenerationTotals,
} from "./delivery_event.ts";
import {
  backoffDelay,
  CANCELLED_BY_CALLER,
  incompleteStream,
  withOutcome,
} from "./delivery_failures.ts";

/** A request is not retried after it was lost by this many engines. */
const MAXIMUM_LOST_ENGINES = 3;

/** Delivers one request to a single final outcome, with retries. */
export class RequestDelivery {
  readonly #options: DeliveryOptions;
  readonly #frameFilter: FrameFilter;
  readonly #failures: Failure[] = [];
  readonly #bufferedTokens: string[] = [];
  #progress = new AttemptProgress();
  #attempt = attemptNumber(1);
  #passedTokenCount = 0;
  #retryAt: Instant | undefined;
  #retryFromSequence = 0;
  #isResumed = false;
  #ended = false;

  /** @param options The request and its delivery rules. */
  constructor(options: DeliveryOptions) {
    this.#options = options;
    this.#frameFilter = new FrameFilter(options);
  }

  /** The current attempt. */
  get attempt(): AttemptNumber {
    return this.#attempt;
  }

  /** Whether the request has its final outcome. */
  get ended(): boolean {
    return this.#ended;
  }

  /** The number of frames dropped so far, by reason. */
  get droppedFrames(): FrameFilter["dropped"] {
    return this.#frameFilter.dropped;
  }

  /** When {@link handle} needs a `tick` if no event occurs before. */
  get nextWakeAt(): Instant | undefined {
    return this.#ended ? undefined : this.#retryAt;
  }

  /**
   * Starts the first attempt.
   * @returns The actions to carry out.
   */
  start(): readonly DeliveryAction[] {
    this.#options.budget.earn();
    return this.#startAttempt(0);
  }

  /**
   * Handles an event.
   * @param now The present time.
   * @param event The event.
   * @returns The actions to carry out, in order.
   */
  handle(now: Instant, event: DeliveryEvent): readonly DeliveryAction[] {
    if (this.#ended) {
      if (event.kind === "frame") this.#frameFilter.classify(event.frame);
      return [];
    }
    switch (event.kind) {
      case "frame":
        return this.#onFrame(now, event.frame);
      case "completed":
        return this.#onCompleted(now, event.attempt, event.totals);
      case "failed":
        return this.#onFailed(now, event.attempt, event.failure);
      case "caller_left":
        return this.#onCallerLeft();
      case "tick":
        return this.#onTick(now);
    }
  }

  #onFrame(now: Instant, frame: ReceivedFrame): readonly DeliveryAction[] {
    const verdict = this.#frameFilter.classify(frame);
    switch (verdict.kind) {
      case "pass":
        this.#progress.advanceTo("dispatched");
        return this.#passTokens(verdict.tokens);
      case "drop":
        return [];
      case "gap":
        return this.#abandonAttempt(
          now,
          incompleteStream("A frame is missing."),
        );
      case "mismatch":
        return this.#onAdapterMismatch(frame);
    }
  }

  #passTokens(tokens: readonly string[]): readonly DeliveryAction[] {
    if (!this.#options.streamed) {
      this.#bufferedTokens.push(...tokens);
      return [];
    }
    const sequence = this.#passedTokenCount;
    this.#passedTokenCount += tokens.length;
    return [{ kind: "pass", sequence, tokens }];
  }

  /** Fails the current attempt and stops reading it. */
  #abandonAttempt(now: Instant, failure: Failure): readonly DeliveryAction[] {
    const attempt = this.#attempt;
    const next = this.#onFailed(now, attempt, failure);
    return [{ kind: "cancel", attempt, atEngine: this.#ended }, ...next];
  }

  #onAdapterMismatch(frame: ReceivedFrame): readonly DeliveryAction[] {
    const { adapter } = frame;
    const failure: Failure = {
      ...incompleteStream(
        `The engine ran ${adapter.adapter}@${adapter.version}.`,
      ),
      reason: "mismatch",
      outcome: "ran",
    };
    this.#progress.advanceTo("unknown");
    const attempt = this.#attempt;
    return [
      { kind: "cancel", attempt, atEngine: true },
      ...this.#fail(failure),
    ];
  }

  #onCompleted(
    now: Instant,
    attempt: AttemptNumber,
    totals: GenerationTotals,
  ): readonly DeliveryAction[] {
    if (attempt !== this.#attempt || this.#retryAt !== undefined) return [];
    const { rules } = this.#options;
    const isComplete =
      totals.completionTokens === this.#frameFilter.nextSequence;
    if (!isComplete && !rules.mayEndIncomplete()) {
      return this.#onFailed(
        now,
        attempt,
        incompleteStream("Tokens are missing."),
      );
    }
    this.#progress.advanceTo("answered");
    return this.#complete(totals);
  }

  #complete(totals: GenerationTotals): readonly DeliveryAction[] {
    const buffered = this.#bufferedTokens.splice(0);
    const tokenCount = this.#passedTokenCount + buffered.length;
    assertInvariant(
      tokenCount === totals.completionTokens,
      "answer_is_whole",
      () => `${tokenCount} of ${totals.completionTokens} tokens are delivered.`,
    );
    this.#ended = true;
    this.#frameFilter.endAttempt();
    const passed: DeliveryAction[] = buffered.length === 0
      ? []
      : [{ kind: "pass", sequence: 0, tokens: buffered }];
    return [...passed, { kind: "complete", totals }];
  }

  #onFailed(
    now: Instant,
    attempt: AttemptNumber,
    failure: Failure,
  ): readonly DeliveryAction[] {
    if (attempt !== this.#attempt || this.#retryAt !== undefined) return [];
    const corrected = this.#correctOutcome(failure);
    this.#progress.advanceTo(
      corrected.outcome === "not_run" ? "not_run" : "unknown",
    );
    this.#failures.push(corrected);
    this.#frameFilter.endAttempt();
    const { rules, repeatable } = this.#options;
    const step = rules.nextStep({
      failure: corrected,
      repeatable,
      receivedTokens: this.#frameFilter.nextSequence,
      passedTokens: this.#passedTokenCount,
      wasResume: this.#isResumed,
    });
    if (
      step === "give_up" || this.#hasLostTooManyEngines || !this.#takeRetry()
    ) {
      return this.#fail(corrected);
    }
    this.#assertRetryAllowed(step === "resume");
    this.#retryFromSequence = step === "resume"
      ? this.#frameFilter.nextSequence
      : 0;
    this.#retryAt = later(now, this.#retryDelay(corrected));
    return [];
  }

  /**
   * Corrects an outcome of "not run" to "unknown" once tokens were received,
   * since the attempt must have started.
   */
  #correctOutcome(failure: Failure): Failure {
    const hasRun = this.#frameFilter.nextSequence > 0 &&
      failure.outcome === "not_run";
    return hasRun ? { ...failure, outcome: "unknown" } : failure;
  }

  #assertRetryAllowed(isResume: boolean): void {
    const { repeatable } = this.#options;
    assertInvariant(
      isResume || this.#passedTokenCount === 0,
      "answer_is_whole",
      () =>
        `${this.#passedTokenCount} tokens of an earlier run were sent already.`,
    );
    const allNotRun = this.#failures.every((failure) =>
      failure.outcome === "not_run"
    );
    assertInvariant(
      repeatable || isResume || allNotRun,
      "at_most_once",
      () => `Attempt ${this.#attempt + 1} follows one that may have run.`,
    );
  }

  /**
   * Whether so many different engines were lost during generation that the
   * request may be the cause.
   */
  get #hasLostTooManyEngines(): boolean {
    const lost = this.#failures.filter(({ step, outcome }) =>
      step === "generate" && outcome === "unknown"
    );
    return new Set(lost.map(({ peer }) => peer)).size >= MAXIMUM_LOST_ENGINES;
  }

  #takeRetry(): boolean {
    const { budget, maximumAttempts } = this.#options;
    return this.#attempt < maximumAttempts && budget.take();
  }

  #retryDelay(failure: Failure): Duration {
    return backoffDelay(this.#failures.length, failure);
  }

  #onTick(now: Instant): readonly DeliveryAction[] {
    if (this.#retryAt === undefined || now < this.#retryAt) return [];
    this.#retryAt = undefined;
    this.#attempt = attemptNumber(this.#attempt + 1);
    return this.#startAttempt(this.#retryFromSequence);
  }

  #startAttempt(fromSequence: number): readonly DeliveryAction[] {
    if (fromSequence === 0) this.#bufferedTokens.length = 0;
    this.#isResumed = fromSequence > 0;
    this.#progress = new AttemptProgress();
    this.#progress.advanceTo("handed_over");
    this.#frameFilter.startAttempt(this.#attempt, fromSequence);
    return [{
      kind: "attempt",
      attempt: this.#attempt,
      fromSequence,
    }];
  }

  #fail(lastFailure: Failure): readonly DeliveryAction[] {
    const failures = this.#failures.length === 0
      ? [lastFailure]
      : this.#failures;
    const outcome = this.#options.rules.outcomeOf(failures);
    const isProvenNotRun = failures.every((failure) =>
      failure.outcome === "not_run"
    );
    assertInvariant(
      outcome !== "not_run" || isProvenNotRun,
      "not_run_means_not_run",
      () => `An attempt ended with the outcome ${lastFailure.outcome}.`,
    );
    this.#ended = true;
    this.#frameFilter.endAttempt();
    return [{ kind: "fail", failure: withOutcome(lastFailure, outcome) }];
  }

  #onCallerLeft(): readonly DeliveryAction[] {
    const attempt = this.#attempt;
    const isInFlight = this.#progress.isInFlight;
    if (isInFlight) this.#progress.advanceTo("unknown");
    this.#failures.push(
      isInFlight ? CANCELLED_BY_CALLER : {
        ...CANCELLED_BY_CALLER,
        outcome: "not_run",
      },
    );
    const end = this.#fail(CANCELLED_BY_CALLER);
    if (!isInFlight) return end;
    return [{ kind: "cancel", attempt, atEngine: true }, ...end];
  }
}
