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
import { type ArrivingFrame, FrameGate } from "./frame_gate.ts";
import type { DeliveryOptions } from "./delivery_options.ts";
import type {
  DeliveryAction,
  DeliveryEvent,
  GenerationTotals,
} from "./delivery_event.ts";
import {
  backOff,
  CANCELLED,
  incomplete,
  withOutcome,
} from "./delivery_failures.ts";

/** A request is not retried after it was lost by this many engines. */
const MOST_LOST_ENGINES = 3;

/** Delivers one request to a single final outcome, with retries. */
export class RequestDelivery {
  readonly #options: DeliveryOptions;
  readonly #gate: FrameGate;
  readonly #failures: Failure[] = [];
  readonly #held: string[] = [];
  #progress = new AttemptProgress();
  #attempt = attemptNumber(1);
  #passed = 0;
  #retryAt: Instant | undefined;
  #retryFrom = 0;
  #resumed = false;
  #ended = false;

  /** @param options The request and its delivery rules. */
  constructor(options: DeliveryOptions) {
    this.#options = options;
    this.#gate = new FrameGate(options);
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
  get dropped(): FrameGate["dropped"] {
    return this.#gate.dropped;
  }

  /** When {@link handle} needs a `tick` if no event occurs before. */
  get nextWake(): Instant | undefined {
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
      if (event.kind === "frame") this.#gate.judge(event.frame);
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

  #onFrame(now: Instant, frame: ArrivingFrame): readonly DeliveryAction[] {
    const verdict = this.#gate.judge(frame);
    switch (verdict.kind) {
      case "pass":
        this.#progress.moveTo("dispatched");
        return this.#pass(verdict.tokens);
      case "drop":
        return [];
      case "gap":
        return this.#breakOff(now, incomplete("A frame is missing."));
      case "mismatch":
        return this.#mismatch(frame);
    }
  }

  #pass(tokens: readonly string[]): readonly DeliveryAction[] {
    if (!this.#options.streamed) {
      this.#held.push(...tokens);
      return [];
    }
    const sequence = this.#passed;
    this.#passed += tokens.length;
    return [{ kind: "pass", sequence, tokens }];
  }

  /** Fails the current attempt and stops reading it. */
  #breakOff(now: Instant, failure: Failure): readonly DeliveryAction[] {
    const attempt = this.#attempt;
    const next = this.#onFailed(now, attempt, failure);
    return [{ kind: "cancel", attempt, atEngine: this.#ended }, ...next];
  }

  #mismatch(frame: ArrivingFrame): readonly DeliveryAction[] {
    const { adapter } = frame;
    const failure: Failure = {
      ...incomplete(`The engine ran ${adapter.adapter}@${adapter.version}.`),
      reason: "mismatch",
      outcome: "ran",
    };
    this.#progress.moveTo("unknown");
    const attempt = this.#attempt;
    return [
      { kind: "cancel", attempt, atEngine: true },
      ...this.#giveUp(failure),
    ];
  }

  #onCompleted(
    now: Instant,
    attempt: AttemptNumber,
    totals: GenerationTotals,
  ): readonly DeliveryAction[] {
    if (attempt !== this.#attempt || this.#retryAt !== undefined) return [];
    const { rules } = this.#options;
    const isWhole = totals.completionTokens === this.#gate.next;
    if (!isWhole && !rules.mayEndIncomplete()) {
      return this.#onFailed(now, attempt, incomplete("Tokens are missing."));
    }
    this.#progress.moveTo("answered");
    return this.#end(totals);
  }

  #end(totals: GenerationTotals): readonly DeliveryAction[] {
    const held = this.#held.splice(0);
    const tokens = this.#passed + held.length;
    assertInvariant(
      tokens === totals.completionTokens,
      "answer_is_whole",
      () =>
        `${tokens} of ${totals.completionTokens} tokens were sent to the caller.`,
    );
    this.#ended = true;
    this.#gate.close();
    const passed: DeliveryAction[] = held.length === 0
      ? []
      : [{ kind: "pass", sequence: 0, tokens: held }];
    return [...passed, { kind: "complete", totals }];
  }

  #onFailed(
    now: Instant,
    attempt: AttemptNumber,
    failure: Failure,
  ): readonly DeliveryAction[] {
    if (attempt !== this.#attempt || this.#retryAt !== undefined) return [];
    const known = this.#known(failure);
    this.#progress.moveTo(known.outcome === "not_run" ? "not_run" : "unknown");
    this.#failures.push(known);
    this.#gate.close();
    const { rules, repeatable } = this.#options;
    const step = rules.nextStep({
      failure: known,
      repeatable,
      received: this.#gate.next,
      passed: this.#passed,
      wasResume: this.#resumed,
    });
    if (
      step === "give_up" || this.#lostTooManyEngines || !this.#takeRetry()
    ) {
      return this.#giveUp(known);
    }
    this.#checkRepeat(step === "resume");
    this.#retryFrom = step === "resume" ? this.#gate.next : 0;
    this.#retryAt = later(now, this.#wait(known));
    return [];
  }

  /**
   * Corrects an outcome of "not run" to "unknown" once tokens were received,
   * since the attempt must have started.
   */
  #known(failure: Failure): Failure {
    const hasRun = this.#gate.next > 0 && failure.outcome === "not_run";
    return hasRun ? { ...failure, outcome: "unknown" } : failure;
  }

  #checkRepeat(resumes: boolean): void {
    const { repeatable } = this.#options;
    assertInvariant(
      resumes || this.#passed === 0,
      "answer_is_whole",
      () => `${this.#passed} tokens of an earlier run were sent already.`,
    );
    const allNotRun = this.#failures.every((failure) =>
      failure.outcome === "not_run"
    );
    assertInvariant(
      repeatable || resumes || allNotRun,
      "at_most_once",
      () => `Attempt ${this.#attempt + 1} follows one that may have run.`,
    );
  }

  /**
   * Whether so many different engines were lost during generation that the
   * request may be the cause.
   */
  get #lostTooManyEngines(): boolean {
    const lost = this.#failures.filter(({ step, outcome }) =>
      step === "generate" && outcome === "unknown"
    );
    return new Set(lost.map(({ peer }) => peer)).size >= MOST_LOST_ENGINES;
  }

  #takeRetry(): boolean {
    const { budget, maximumAttempts } = this.#options;
    return this.#attempt < maximumAttempts && budget.take();
  }

  #wait(failure: Failure): Duration {
    return backOff(this.#failures.length, failure);
  }

  #onTick(now: Instant): readonly DeliveryAction[] {
    if (this.#retryAt === undefined || now < this.#retryAt) return [];
    this.#retryAt = undefined;
    this.#attempt = attemptNumber(this.#attempt + 1);
    return this.#startAttempt(this.#retryFrom);
  }

  #startAttempt(from: number): readonly DeliveryAction[] {
    if (from === 0) this.#held.length = 0;
    this.#resumed = from > 0;
    this.#progress = new AttemptProgress();
    this.#progress.moveTo("handed_over");
    this.#gate.open(this.#attempt, from);
    return [{ kind: "attempt", attempt: this.#attempt, fromSequence: from }];
  }

  #giveUp(last: Failure): readonly DeliveryAction[] {
    const failures = this.#failures.length === 0 ? [last] : this.#failures;
    const outcome = this.#options.rules.outcomeOf(failures);
    const truth = failures.every((failure) => failure.outcome === "not_run");
    assertInvariant(
      outcome !== "not_run" || truth,
      "not_run_means_not_run",
      () => `An attempt ended with the outcome ${last.outcome}.`,
    );
    this.#ended = true;
    this.#gate.close();
    return [{ kind: "fail", failure: withOutcome(last, outcome) }];
  }

  #onCallerLeft(): readonly DeliveryAction[] {
    const attempt = this.#attempt;
    const isOpen = this.#progress.isOpen;
    if (isOpen) this.#progress.moveTo("unknown");
    this.#failures.push(
      isOpen ? CANCELLED : {
        ...CANCELLED,
        outcome: "not_run",
      },
    );
    const end = this.#giveUp(CANCELLED);
    if (!isOpen) return end;
    return [{ kind: "cancel", attempt, atEngine: true }, ...end];
  }
}
