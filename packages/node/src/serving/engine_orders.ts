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
import type { OrderAuthorizer } from "./order_authorizer.ts";

/**
 * The time within which the engine may act on an order. Orders must end
 * sooner.
 */
const ORDER_EXPIRY_MILLISECONDS = 5_000;
const STATE_POLL_INTERVAL_MILLISECONDS = 250;

/** The dependencies of {@link EngineOrders}. */
export interface EngineOrdersParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly clock: SteadyClock;
  readonly orderAuthorizer: OrderAuthorizer;
  /** The time from an order's start within which the engine may act on it. */
  readonly expiresInMilliseconds?: number;
}

/**
 * Sends orders to an engine. If the answer to an order is lost, its outcome is
 * read from the engine's state after the order has expired.
 */
export class EngineOrders {
  readonly #parts: EngineOrdersParts;
  #stopped = false;

  /** @param parts The dependencies. */
  constructor(parts: EngineOrdersParts) {
    this.#parts = parts;
  }

  /**
   * Loads an adapter.
   * @param adapter The adapter.
   * @returns Success once it is resident, or why it is not.
   */
  load(adapter: AdapterReference): Promise<Result<void, Failure>> {
    return this.#execute("load_adapter", adapter, true);
  }

  /**
   * Evicts an adapter.
   * @param adapter The adapter.
   * @returns Success once it is evicted, or why it is not.
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
    const { client, clock, orderAuthorizer: authorizer, engine } = this.#parts;
    const expiry = this.#parts.expiresInMilliseconds ??
      ORDER_EXPIRY_MILLISECONDS;
    const startedAt = clock.now();
    const fencing = authorizer.authorizeOrder(engine, startedAt);
    if (fencing.isErr()) return err(fencing.error);
    const result = await client.sendOrder({
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

  /** Polls until the engine answers and the adapter is not being loaded. */
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
