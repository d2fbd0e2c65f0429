import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  seconds,
} from "../shared/mod.ts";
import { SmoothedDuration } from "../placement/smoothed_duration.ts";
import type { EngineRequest } from "./engine_request.ts";

const SMOOTHING_FACTOR = 0.1;
const INITIAL_FIRST_TOKEN_TIME = milliseconds(100);
const INITIAL_SERVICE_TIME = seconds(2);
const INITIAL_TOKEN_TIME = milliseconds(20);

/** Smoothed durations of an engine's generations, from its own answers. */
export class EngineTimings {
  readonly #firstTokenTime = new SmoothedDuration(
    INITIAL_FIRST_TOKEN_TIME,
    SMOOTHING_FACTOR,
  );
  readonly #serviceTime = new SmoothedDuration(
    INITIAL_SERVICE_TIME,
    SMOOTHING_FACTOR,
  );
  readonly #tokenTime = new SmoothedDuration(
    INITIAL_TOKEN_TIME,
    SMOOTHING_FACTOR,
  );

  /** The time from dispatch to the first token. */
  get firstTokenTime(): Duration {
    return this.#firstTokenTime.value;
  }

  /** The time from dispatch to the end of the answer. */
  get serviceTime(): Duration {
    return this.#serviceTime.value;
  }

  /** The time between two tokens of an answer. */
  get tokenTime(): Duration {
    return this.#tokenTime.value;
  }

  /**
   * Records a first token.
   * @param now The present time.
   * @param request The request.
   */
  recordFirstToken(now: Instant, request: EngineRequest): void {
    if (request.dispatchedAt === undefined) return;
    this.#firstTokenTime.observe(elapsed(request.dispatchedAt, now));
  }

  /**
   * Records the end of an answer.
   * @param now The present time.
   * @param request The request.
   * @param generatedTokens The number of tokens in the answer.
   */
  recordEnd(
    now: Instant,
    request: EngineRequest,
    generatedTokens: number,
  ): void {
    if (request.dispatchedAt === undefined || generatedTokens < 1) return;
    this.#serviceTime.observe(elapsed(request.dispatchedAt, now));
    if (request.firstTokenAt === undefined || generatedTokens < 2) return;
    const generation = elapsed(request.firstTokenAt, now);
    this.#tokenTime.observe(milliseconds(generation / (generatedTokens - 1)));
  }

  /**
   * Records the step time that the engine reported.
   * @param stepTime The duration of one step.
   */
  recordStepTime(stepTime: Duration): void {
    if (stepTime > 0) this.#tokenTime.observe(stepTime);
  }
}
