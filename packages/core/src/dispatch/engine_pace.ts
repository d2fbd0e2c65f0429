import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  seconds,
} from "../shared/mod.ts";
import { SmoothedDuration } from "../placement/smoothed_duration.ts";
import type { WaitingRequest } from "./waiting_request.ts";

const SHARE = 0.1;
const INITIAL_FIRST_TOKEN = milliseconds(100);
const INITIAL_SERVICE = seconds(2);
const INITIAL_TOKEN = milliseconds(20);

/** Smoothed durations of an engine's generations, from its own answers. */
export class EnginePace {
  readonly #firstToken = new SmoothedDuration(INITIAL_FIRST_TOKEN, SHARE);
  readonly #service = new SmoothedDuration(INITIAL_SERVICE, SHARE);
  readonly #token = new SmoothedDuration(INITIAL_TOKEN, SHARE);

  /** The time from dispatch to the first token. */
  get firstToken(): Duration {
    return this.#firstToken.value;
  }

  /** The time from dispatch to the end of the answer. */
  get service(): Duration {
    return this.#service.value;
  }

  /** The time between two tokens of an answer. */
  get token(): Duration {
    return this.#token.value;
  }

  /**
   * Records a first token.
   * @param now The present time.
   * @param request The request.
   */
  firstTokenCame(now: Instant, request: WaitingRequest): void {
    if (request.dispatchedAt === undefined) return;
    this.#firstToken.observe(elapsed(request.dispatchedAt, now));
  }

  /**
   * Records the end of an answer.
   * @param now The present time.
   * @param request The request.
   * @param generatedTokens The number of tokens in the answer.
   */
  ended(now: Instant, request: WaitingRequest, generatedTokens: number): void {
    if (request.dispatchedAt === undefined || generatedTokens < 1) return;
    this.#service.observe(elapsed(request.dispatchedAt, now));
    if (request.firstTokenAt === undefined || generatedTokens < 2) return;
    const generation = elapsed(request.firstTokenAt, now);
    this.#token.observe(milliseconds(generation / (generatedTokens - 1)));
  }

  /**
   * Records the step time that the engine reported.
   * @param stepTime The duration of one step.
   */
  stepReported(stepTime: Duration): void {
    if (stepTime > 0) this.#token.observe(stepTime);
  }
}
