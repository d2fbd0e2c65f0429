import {
  DeliveryRules,
  type RequestObserver,
  RetryBudget,
} from "@foxtailwind/core";
import type { GenerationHandle, GenerationSink } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { CrashMemory } from "../crashes/mod.ts";
import type { GenerationRequest } from "../serving/generation_request.ts";
import type { GenerationRouter } from "../serving/generation_router.ts";
import { DeliveryCounters } from "./delivery_counters.ts";
import { GenerationAttempts } from "./generation_attempts.ts";
import { KeyedGenerations } from "./keyed_generations.ts";
import type { KeyedExecution } from "./keyed_execution.ts";

/** The dependencies of {@link GenerationDelivery}. */
export interface GenerationDeliveryParts {
  readonly router: Pick<GenerationRouter, "route">;
  readonly clock: SteadyClock;
  readonly observer: RequestObserver;
  readonly crashes: CrashMemory;
  readonly execution: KeyedExecution;
}

/** A caller's request and its delivery options. */
export interface GenerationDeliveryRequest {
  readonly generation: GenerationRequest;
  /** Whether the caller receives tokens before the answer is complete. */
  readonly streamed: boolean;
  /** The `Idempotency-Key`, for which the request runs at most once. */
  readonly key?: string | undefined;
  /** Whether a request without a key is sent only once. */
  readonly notRepeatable?: boolean;
}

const RETRY_BUDGET_OPTIONS = { share: 0.1, maximum: 100 } as const;
const MAXIMUM_ATTEMPTS = 5;

/** Delivers exactly one outcome for each generation of a caller. */
export class GenerationDelivery {
  /** The numbers of dropped frames, retries and resumptions so far. */
  readonly counters = new DeliveryCounters();
  readonly #parts: GenerationDeliveryParts;
  readonly #budget = new RetryBudget(RETRY_BUDGET_OPTIONS);
  readonly #rules = new DeliveryRules();
  readonly #keyed: KeyedGenerations;

  /** @param parts The dependencies. */
  constructor(parts: GenerationDeliveryParts) {
    this.#parts = parts;
    this.#keyed = new KeyedGenerations(
      parts,
      (generation, sink) =>
        this.#startAttempts(
          { generation, streamed: true, notRepeatable: true },
          sink,
        ),
    );
  }

  /**
   * Delivers a generation.
   * @param deliveryRequest The request.
   * @param sink Receives each token once, in order, and one end.
   * @returns The handle of the generation.
   */
  deliver(
    deliveryRequest: GenerationDeliveryRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const { key } = deliveryRequest;
    if (key !== undefined) {
      return this.#keyed.deliver({ ...deliveryRequest, key }, sink);
    }
    return this.#startAttempts(deliveryRequest, sink);
  }

  #startAttempts(
    deliveryRequest: GenerationDeliveryRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const { router, clock, observer, crashes } = this.#parts;
    const attempts = new GenerationAttempts({
      deliveryRequest,
      sink,
      router,
      clock,
      observer,
      crashes,
      counters: this.counters,
      budget: this.#budget,
      rules: this.#rules,
      maximumAttempts: MAXIMUM_ATTEMPTS,
    });
    attempts.start();
    return attempts;
  }
}
