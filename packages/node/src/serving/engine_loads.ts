import {
  type AdapterReference,
  elapsed,
  type EngineDecision,
  type RequestId,
  type RequestObserver,
} from "@foxtailwind/core";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { AdapterAggregates } from "./adapter_aggregates.ts";
import { EngineOrders, type EngineOrdersParts } from "./engine_orders.ts";

/** The dependencies of {@link EngineLoads}. */
export interface EngineLoadsParts extends EngineOrdersParts {
  readonly logger: ComponentLogger;
  readonly observer: RequestObserver;
  readonly aggregates: AdapterAggregates;
}

type LoadDecision = Extract<EngineDecision, { readonly kind: "load" }>;

/** Executes loads and evictions, and records their results. */
export class EngineLoads {
  readonly #parts: EngineLoadsParts;
  readonly #orders: EngineOrders;

  /** @param parts The dependencies. */
  constructor(parts: EngineLoadsParts) {
    this.#parts = parts;
    this.#orders = new EngineOrders(parts);
  }

  /**
   * Loads an adapter.
   * @param decision The load decision.
   * @param waiting The requests that wait for it.
   * @returns Whether the adapter is now resident.
   */
  async load(
    decision: LoadDecision,
    waiting: readonly RequestId[],
  ): Promise<boolean> {
    const { aggregates, clock } = this.#parts;
    const startedAt = clock.now();
    this.#recordStart(decision, waiting);
    const result = await this.#orders.load(decision.adapter);
    const loaded = result.isOk();
    if (loaded) aggregates.loads.observe(elapsed(startedAt, clock.now()));
    else {this.#warn(
        "Loading an adapter failed.",
        decision.adapter,
        result.error.reason,
      );}
    this.#recordEnd(waiting, loaded);
    return loaded;
  }

  /**
   * Evicts an adapter.
   * @param adapter The adapter.
   * @returns Whether the adapter was evicted.
   */
  async evict(adapter: AdapterReference): Promise<boolean> {
    const result = await this.#orders.evict(adapter);
    if (result.isErr()) {
      this.#warn("Evicting an adapter failed.", adapter, result.error.reason);
    }
    return result.isOk();
  }

  /** Stops resolving orders with an unknown outcome. */
  stop(): void {
    this.#orders.stop();
  }

  #recordStart(decision: LoadDecision, waiting: readonly RequestId[]): void {
    const { clock, engine, observer } = this.#parts;
    const { adapter, evicted } = decision;
    for (const request of waiting) {
      observer.record(clock.now(), {
        kind: "load_started",
        request,
        engine,
        adapter,
        ...(evicted === undefined ? {} : { evicted }),
      });
    }
  }

  #recordEnd(waiting: readonly RequestId[], loaded: boolean): void {
    const { clock, engine, observer } = this.#parts;
    for (const request of waiting) {
      observer.record(clock.now(), {
        kind: "load_ended",
        request,
        engine,
        loaded,
      });
    }
  }

  #warn(message: string, adapter: AdapterReference, reason: string): void {
    const { engine, logger } = this.#parts;
    logger.warn(message, { engine, adapter: adapter.adapter, reason });
  }
}
