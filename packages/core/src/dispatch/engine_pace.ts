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

/** How fast an engine is, measured by its own answers. */
export class EnginePace {
  readonly #firstToken = new SmoothedDuration(INITIAL_FIRST_TOKEN, SHARE);
  readonly #service = new SmoothedDuration(INITIAL_SERVICE, SHARE);
  readonly #token = new SmoothedDuration(INITIAL_TOKEN, SHARE);

  /** From dispatch to the first token. */
  get firstToken(): Duration {
    return this.#firstToken.value;
  }

  /** From dispatch to the end of the answer. */
  get service(): Duration {
    return this.#service.value;
  }

  /** From one token of an answer to the next. */
  get token(): Duration {
    return this.#token.value;
  }

  /**
   * Takes note of a first token.
   * @param now The present time.
   * @param request The request.
   */
  firstTokenCame(now: Instant, request: WaitingRequest): void {
    if (request.dispatchedAt === undefined) return;
    this.#firstToken.observe(elapsed(request.dispatchedAt, now));
  }

  /**
   * Takes note of the end of an answer.
   * @param now The present time.
   * @param request The request.
   * @param generatedTokens How many tokens it had.
   */
  ended(now: Instant, request: WaitingRequest, generatedTokens: number): void {
    if (request.dispatchedAt === undefined || generatedTokens < 1) return;
    this.#service.observe(elapsed(request.dispatchedAt, now));
    if (request.firstTokenAt === undefined || generatedTokens < 2) return;
    const generation = elapsed(request.firstTokenAt, now);
    this.#token.observe(milliseconds(generation / (generatedTokens - 1)));
  }

  /**
   * Takes note of the time of a step that the engine reported.
   * @param stepTime The time of one step.
   */
  stepReported(stepTime: Duration): void {
    if (stepTime > 0) this.#token.observe(stepTime);
  }
}
