import {
  adapterKey,
  type AdapterReference,
  type EngineId,
  type Failure,
} from "@foxtailwind/core";
import type { EngineClient } from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { OrderRight } from "./order_right.ts";

/** Until then the engine may act on an order; orders must end sooner. */
const ORDER_EXPIRY_MILLISECONDS = 5_000;
const STATE_POLL_INTERVAL_MILLISECONDS = 250;

/** What orders are given with. */
export interface EngineOrdersParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly clock: SteadyClock;
  readonly right: OrderRight;
  /** Until when after its start the engine may act on an order. */
  readonly expiresInMilliseconds?: number;
}

/**
 * Gives an engine orders, and finds out what became of those whose answer was
 * lost, by the engine's own state after the order has expired.
 */
export class EngineOrders {
  readonly #parts: EngineOrdersParts;
  #stopped = false;

  /** @param parts What to give orders with. */
  constructor(parts: EngineOrdersParts) {
    this.#parts = parts;
  }

  /**
   * Orders a load.
   * @param adapter The adapter.
   * @returns Nothing once it is resident, or why it is not.
   */
  load(adapter: AdapterReference): Promise<Result<void, Failure>> {
    return this.#execute("load_adapter", adapter, true);
  }

  /**
   * Orders an eviction.
   * @param adapter The adapter.
   * @returns Nothing once it has left, or why it has not.
   */
  evict(adapter: AdapterReference): Promise<Result<void, Failure>> {
    return this.#execute("evict_adapter", adapter, false);
  }

  /** Stops reading the engine's state. */
  stop(): void {
    this.#stopped = true;
  }

  async #execute(
    kind: "load_adapter" | "evict_adapter",
    adapter: AdapterReference,
    expectsResident: boolean,
  ): Promise<Result<void, Failure>> {
    const { client, clock, right, engine } = this.#parts;
    const expiry = this.#parts.expiresInMilliseconds ??
      ORDER_EXPIRY_MILLISECONDS;
    const startedAt = clock.now();
    const fencing = right.current(engine, startedAt);
    if (fencing.isErr()) return err(fencing.error);
    const result = await client.order({
      kind,
      adapter,
      fencing: fencing.value,
      expiresInMilliseconds: expiry,
    });
    if (result.isOk() || result.error.outcome === "not_run") return result;
    const elapsedMilliseconds = clock.now() - startedAt;
    await sleep(Math.max(0, expiry - elapsedMilliseconds));
    const resident = await this.#isResident(adapter);
    return resident === expectsResident ? ok() : err(result.error);
  }

  /** Asks until the engine answers and the adapter's load is not under way. */
  async #isResident(adapter: AdapterReference): Promise<boolean> {
    const key = adapterKey(adapter);
    while (!this.#stopped) {
      const state = await this.#parts.client.readState();
      const isLoading = state.isOk() &&
        state.value.loading.some((other) => adapterKey(other) === key);
      if (state.isOk() && !isLoading) {
        return state.value.resident.some((other) => adapterKey(other) === key);
      }
      await sleep(STATE_POLL_INTERVAL_MILLISECONDS);
    }
    return false;
  }
}
