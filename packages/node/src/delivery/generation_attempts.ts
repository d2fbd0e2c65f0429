import {
  type AttemptNumber,
  type DeliveryAction,
  type DeliveryEvent,
  type DeliveryRules,
  type Failure,
  type Instant,
  RequestDelivery,
  type RequestObserver,
  type RetryBudget,
} from "@foxtailwind/core";
import {
  type GenerationEnd,
  type GenerationFrame,
  type GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { type CrashMemory, generationSuspects } from "../crashes/mod.ts";
import type { GenerationRouter } from "../serving/generation_router.ts";
import type { DeliveryCounters } from "./delivery_counters.ts";
import type { GenerationDeliveryRequest } from "./generation_delivery.ts";

/** The dependencies of {@link GenerationAttempts}. */
export interface GenerationAttemptsParts {
  readonly deliveryRequest: Pick<
    GenerationDeliveryRequest,
    "generation" | "streamed" | "notRepeatable"
  >;
  readonly sink: GenerationSink;
  readonly router: Pick<GenerationRouter, "route">;
  readonly clock: SteadyClock;
  readonly observer: RequestObserver;
  readonly crashes: CrashMemory;
  readonly counters: DeliveryCounters;
  readonly budget: RetryBudget;
  readonly rules: DeliveryRules;
  readonly maximumAttempts: number;
}

/** Executes the decisions of {@link RequestDelivery} for one request. */
export class GenerationAttempts implements GenerationHandle {
  readonly #parts: GenerationAttemptsParts;
  readonly #delivery: RequestDelivery;
  #handle: GenerationHandle | undefined;
  #paused = false;
  /** When the last attempt began. */
  #begunAt: Instant;
  #timer: NodeJS.Timeout | undefined;

  /** @param parts The dependencies. */
  constructor(parts: GenerationAttemptsParts) {
    const { deliveryRequest, budget, rules, maximumAttempts } = parts;
    const { request, adapter } = deliveryRequest.generation;
    this.#parts = parts;
    this.#begunAt = parts.clock.now();
    this.#delivery = new RequestDelivery({
      request,
      adapter,
      repeatable: deliveryRequest.notRepeatable !== true,
      streamed: deliveryRequest.streamed,
      maximumAttempts,
      budget,
      rules,
    });
  }

  /** Starts the first attempt. */
  start(): void {
    this.#executeActions(this.#delivery.start());
  }

  pause(): void {
    this.#paused = true;
    this.#handle?.pause();
  }

  unpause(): void {
    this.#paused = false;
    this.#handle?.unpause();
  }

  cancel(): void {
    this.#handleEvent({ kind: "caller_left" });
  }

  #handleEvent(event: DeliveryEvent): void {
    const now = this.#parts.clock.now();
    if (event.kind === "failed" && !this.#delivery.ended) {
      this.#parts.observer.record(now, {
        kind: "attempt_failed",
        request: this.#parts.deliveryRequest.generation.request,
        attempt: event.attempt,
        failure: event.failure,
      });
    }
    this.#executeActions(this.#delivery.handle(now, event));
    this.#scheduleWake();
  }

  #scheduleWake(): void {
    clearTimeout(this.#timer);
    const wake = this.#delivery.nextWakeAt;
    if (wake === undefined) return;
    this.#timer = setTimeout(() => {
      this.#handleEvent({ kind: "tick" });
    }, Math.max(1, Math.ceil(wake - this.#parts.clock.now())));
  }

  #executeActions(actions: readonly DeliveryAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case "attempt":
          this.#startAttempt(action.attempt, action.fromSequence);
          break;
        case "cancel":
          if (action.atEngine) this.#handle?.cancel();
          break;
        case "pass":
          this.#forwardFrame(action.sequence, action.tokens);
          break;
        case "complete":
          this.#finish(ok(this.#createEnd(action.totals)));
          break;
        case "fail":
          this.#finish(err(action.failure));
          break;
      }
    }
  }

  #startAttempt(attempt: AttemptNumber, fromSequence: number): void {
    const { router, deliveryRequest, counters } = this.#parts;
    this.#begunAt = this.#parts.clock.now();
    if (attempt > 1) counters.retried += 1;
    if (fromSequence > 0) counters.resumed += 1;
    const failure = this.#quarantineFailure();
    if (failure !== undefined) {
      queueMicrotask(() => {
        this.#handleEvent({ kind: "failed", attempt, failure });
      });
      return;
    }
    const generation = { ...deliveryRequest.generation, attempt, fromSequence };
    const sink = new AttemptSink(attempt, (event) => {
      this.#handleEvent(event);
    });
    this.#handle = router.route(generation, sink);
    if (this.#paused) this.#handle.pause();
  }

  /** Returns why the request does not run if its content is quarantined. */
  #quarantineFailure(): Failure | undefined {
    const { crashes, deliveryRequest } = this.#parts;
    if (crashes.isEmpty) return undefined;
    const wait = crashes.remainingQuarantine(
      generationSuspects(deliveryRequest.generation),
    );
    if (wait === undefined) return undefined;
    return {
      reason: "refused",
      step: "admit",
      peer: "self",
      message: "Requests of this content have ended the engines that ran them.",
      outcome: "not_run",
      retryAfterMilliseconds: wait,
    };
  }

  #forwardFrame(sequence: number, tokens: readonly string[]): void {
    const { request, adapter } = this.#parts.deliveryRequest.generation;
    const { attempt } = this.#delivery;
    this.#parts.sink.onFrame({ request, attempt, sequence, tokens, adapter });
  }

  #createEnd(
    totals: Omit<GenerationEnd, "request" | "attempt">,
  ): GenerationEnd {
    const { request } = this.#parts.deliveryRequest.generation;
    return { ...totals, request, attempt: this.#delivery.attempt };
  }

  #finish(result: Result<GenerationEnd, Failure>): void {
    const { sink, observer, clock, deliveryRequest, counters, crashes } =
      this.#parts;
    if (result.isOk() && !crashes.isEmpty) {
      crashes.recordServed(
        this.#begunAt,
        generationSuspects(deliveryRequest.generation),
      );
    }
    counters.addDropped(this.#delivery.droppedFrames);
    observer.record(clock.now(), {
      kind: "ended",
      request: deliveryRequest.generation.request,
      ...(result.isErr() && { failure: result.error }),
      completionTokens: result.isOk() ? result.value.completionTokens : 0,
    });
    sink.onEnd(result);
  }
}

/** Converts the frames and the end of one attempt to delivery events. */
class AttemptSink extends GenerationSink {
  readonly #attempt: AttemptNumber;
  readonly #handle: (event: DeliveryEvent) => void;

  constructor(
    attempt: AttemptNumber,
    handle: (event: DeliveryEvent) => void,
  ) {
    super();
    this.#attempt = attempt;
    this.#handle = handle;
  }

  override onFrame(frame: GenerationFrame): void {
    this.#handle({ kind: "frame", frame });
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    const attempt = this.#attempt;
    this.#handle(result.match<DeliveryEvent>(
      (totals) => ({ kind: "completed", attempt, totals }),
      (failure) => ({ kind: "failed", attempt, failure }),
    ));
  }
}
