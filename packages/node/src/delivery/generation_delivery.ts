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

/** What generations are delivered with. */
export interface GenerationDeliveryParts {
  readonly router: Pick<GenerationRouter, "route">;
  readonly clock: SteadyClock;
  readonly observer: RequestObserver;
  readonly crashes: CrashMemory;
  readonly execution: KeyedExecution;
}

/** A caller's request, and what the caller asks of its delivery. */
export interface GenerationDeliveryRequest {
  readonly generation: GenerationRequest;
  /** Whether the caller gets tokens before the whole answer is known. */
  readonly streamed: boolean;
  /** The `Idempotency-Key`: the request runs at most once for it. */
  readonly key?: string | undefined;
  /** Without a key: the request is sent once. */
  readonly notRepeatable?: boolean;
}

const RETRY_BUDGET_OPTIONS = { share: 0.1, maximum: 100 } as const;
const MAXIMUM_ATTEMPTS = 5;

/** Brings callers' generations to their only outcome. */
export class GenerationDelivery {
  /** What was dropped, retried and resumed so far. */
  readonly counters = new DeliveryCounters();
  readonly #parts: GenerationDeliveryParts;
  readonly #budget = new RetryBudget(RETRY_BUDGET_OPTIONS);
  readonly #rules = new DeliveryRules();
  readonly #keyed: KeyedGenerations;

  /** @param parts What generations are delivered with. */
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
   * @param order The request.
   * @param sink Receives each token once, in order, and one end.
   * @returns The handle of the generation.
   */
  deliver(
    order: GenerationDeliveryRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const { key } = order;
    if (key !== undefined) return this.#keyed.deliver({ ...order, key }, sink);
    return this.#startAttempts(order, sink);
  }

  #startAttempts(
    order: GenerationDeliveryRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const { router, clock, observer, crashes } = this.#parts;
    const attempts = new GenerationAttempts({
      deliveryRequest: order,
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
