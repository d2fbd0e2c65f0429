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
import type { CallTimeLimits } from "./call_time_limits.ts";

/** A call without an answer yet, and the state of its attempts. */
export class PendingCall {
  readonly id: RequestId;
  readonly repeatable: boolean;
  readonly arrivedAt: Instant;
  readonly timeLimits: CallTimeLimits;
  readonly tried = new Set<BackendServerId>();
  readonly #inFlight = new Set<AttemptNumber>();
  #attempts = 0;
  /** Attempts that are not proven not to have run. */
  #attemptsPossiblyRun = 0;
  #lastAnswered: AttemptNumber | undefined;
  #lastFailure: Failure | undefined;

  /**
   * @param routed The call.
   * @param arrivedAt When it arrived.
   * @param timeLimits Its target and timeout.
   */
  constructor(
    routed: RoutedCall,
    arrivedAt: Instant,
    timeLimits: CallTimeLimits,
  ) {
    this.id = routed.call;
    this.repeatable = routed.repeatable;
    this.arrivedAt = arrivedAt;
    this.timeLimits = timeLimits;
  }

  /** When the call times out. */
  get deadline(): Instant {
    return later(this.arrivedAt, this.timeLimits.timeout);
  }

  /** Number of attempts made. */
  get attempts(): number {
    return this.#attempts;
  }

  /** The attempts that have not ended. */
  get inFlight(): ReadonlySet<AttemptNumber> {
    return this.#inFlight;
  }

  /** Whether the call may have run, judged by its attempts so far. */
  get outcome(): RunOutcome {
    return this.#attemptsPossiblyRun === 0 ? "not_run" : "unknown";
  }

  /** The failure of the last failed attempt. */
  get lastFailure(): Failure | undefined {
    return this.#lastFailure;
  }

  /** The last attempt that was answered, though not with a good answer. */
  get lastAnswered(): AttemptNumber | undefined {
    return this.#lastAnswered;
  }

  /**
   * Starts another attempt.
   * @param server The server to send it to.
   * @returns The number of the attempt.
   */
  dispatch(server: BackendServerId): AttemptNumber {
    assertInvariant(
      this.repeatable || this.#attemptsPossiblyRun === 0,
      "not_repeatable_dispatched_once",
      () => `Call ${this.id} may have run and would be sent to ${server}.`,
    );
    this.#attempts += 1;
    this.#attemptsPossiblyRun += 1;
    this.tried.add(server);
    const attempt = attemptNumber(this.#attempts);
    this.#inFlight.add(attempt);
    return attempt;
  }

  /**
   * Records the end of an attempt.
   * @param attempt The attempt.
   * @param result How it ended.
   */
  end(attempt: AttemptNumber, result: AttemptResult): void {
    this.#inFlight.delete(attempt);
    if (isProvenNotRun(result)) this.#attemptsPossiblyRun -= 1;
    if (result.kind === "failed") this.#lastFailure = result.failure;
    else this.#lastAnswered = attempt;
  }
}
