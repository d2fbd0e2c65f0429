import type { ModelId } from "@foxtailwind/core";
import type {
  AdapterReference,
  EngineOrder,
  EngineRole,
  ReportedFailure,
} from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as delay } from "node:timers/promises";
import { refusal } from "../shared/refusal.ts";
import { adapterKey } from "./adapter_key.ts";
import { AdapterSlots } from "./adapter_slots.ts";
import type { FakeEngineCounters } from "./counters.ts";
import type { FakeEngineSettings } from "./settings.ts";
import { fetchWeights } from "./weight_fetch.ts";

/** The result of an order. */
export type OrderResult = Result<void, ReportedFailure>;

/** The faults of a load. */
export interface LoadFaults {
  readonly extraMilliseconds: number;
  readonly fails: boolean;
}

/** The dependencies of an `OrderExecutor`. */
export interface OrderExecutorOptions {
  readonly settings: FakeEngineSettings;
  readonly counters: FakeEngineCounters;
  /** Draws the faults of a load. */
  readonly drawLoadFaults: () => LoadFaults;
  /** Kills the generations of an adapter, or all if it is `undefined`. */
  readonly killGenerations: (adapter: AdapterReference | undefined) => void;
}

/** Executes orders and holds the state that they change, during one boot. */
export class OrderExecutor {
  readonly slots: AdapterSlots<OrderResult>;
  readonly #options: OrderExecutorOptions;
  readonly #abortController = new AbortController();
  #model: string;
  #role: EngineRole;
  #highestFencingNumber: number | undefined;

  /** @param options The dependencies of an `OrderExecutor`. */
  constructor(options: OrderExecutorOptions) {
    this.#options = options;
    this.#model = options.settings.model;
    this.#role = options.settings.role;
    this.slots = new AdapterSlots(options.settings.adapterSlots);
  }

  /** The base model that is loaded. */
  get model(): string {
    return this.#model;
  }

  /** The current role. */
  get role(): EngineRole {
    return this.#role;
  }

  /** The highest fencing number received, if the engine checks them. */
  get highestFencing(): number | undefined {
    return this.#highestFencingNumber;
  }

  /** Aborts all loads, for a restart. */
  stop(): void {
    this.#abortController.abort();
  }

  /**
   * Executes an order.
   * @param order The order.
   * @param now The monotonic clock reading at the order's arrival, in
   * milliseconds.
   * @returns Nothing, or the reason why it was not executed.
   */
  async execute(order: EngineOrder, now: number): Promise<OrderResult> {
    const fenced = this.#checkFencing(order);
    if (fenced.isErr()) return fenced;
    const expiresAt = now + order.expiresInMilliseconds;
    switch (order.kind) {
      case "load_adapter":
        return await this.#loadAdapter(order.adapter, expiresAt);
      case "evict_adapter":
        return this.#evictAdapter(order.adapter, expiresAt);
      case "load_model":
        return await this.#loadModel(order.model, expiresAt);
      case "change_role":
        return this.#changeRole(order.role, expiresAt);
    }
  }

  /** Checks the fencing number, on arrival only, as engines do. */
  #checkFencing(order: EngineOrder): OrderResult {
    if (!this.#options.settings.checksFencing) return ok();
    if (order.fencing < (this.#highestFencingNumber ?? -Infinity)) {
      this.#options.counters.ordersFenced += 1;
      return err(refusal("fenced", `Fencing ${order.fencing} is old`));
    }
    this.#highestFencingNumber = order.fencing;
    return ok();
  }

  #checkExpiry(expiresAt: number): OrderResult {
    if (performance.now() < expiresAt) return ok();
    this.#options.counters.ordersExpired += 1;
    return err(refusal("expired", "The order has expired"));
  }

  async #loadAdapter(
    adapter: AdapterReference,
    expiresAt: number,
  ): Promise<OrderResult> {
    const expired = this.#checkExpiry(expiresAt);
    if (expired.isErr()) return expired;
    if (this.slots.isResident(adapter)) return ok();
    const loadInProgress = this.slots.findLoad(adapter);
    if (loadInProgress !== undefined) return await loadInProgress.done;
    if (!this.slots.hasFreeSlot) {
      return err(refusal("overloaded", "No slot for an adapter is free"));
    }
    const done = this.#runLoad(adapter, expiresAt);
    this.slots.startLoad({ adapter, done });
    return await done;
  }

  async #runLoad(
    adapter: AdapterReference,
    expiresAt: number,
  ): Promise<OrderResult> {
    const faults = this.#options.drawLoadFaults();
    const fetched = await this.#fetchAndLoad(adapter, faults);
    const result = fetched.andThen(() => this.#checkExpiry(expiresAt));
    const { counters } = this.#options;
    counters.loads += 1;
    if (result.isErr()) counters.loadsFailed += 1;
    this.slots.finishLoad(adapter, result.isOk());
    return result;
  }

  async #fetchAndLoad(
    adapter: AdapterReference,
    faults: LoadFaults,
  ): Promise<OrderResult> {
    const { signal } = this.#abortController;
    const { weightStoreAddress, loadMilliseconds } = this.#options.settings;
    if (weightStoreAddress !== undefined) {
      const fetched = await fetchWeights(adapter, {
        weightStoreAddress,
        signal,
      });
      if (fetched.isErr()) return fetched;
    }
    await delay(loadMilliseconds + faults.extraMilliseconds);
    if (signal.aborted) {
      return err(refusal("unavailable", "The engine restarted"));
    }
    if (faults.fails) return err(refusal("unavailable", "The load failed"));
    return ok();
  }

  #evictAdapter(adapter: AdapterReference, expiresAt: number): OrderResult {
    const expired = this.#checkExpiry(expiresAt);
    if (expired.isErr()) return expired;
    if (this.slots.findLoad(adapter) !== undefined) {
      const message = `Adapter "${adapterKey(adapter)}" is being loaded`;
      return err(refusal("conflict", message));
    }
    if (!this.slots.evict(adapter)) return ok();
    this.#options.counters.evictions += 1;
    this.#options.killGenerations(adapter);
    return ok();
  }

  async #loadModel(model: ModelId, expiresAt: number): Promise<OrderResult> {
    const expired = this.#checkExpiry(expiresAt);
    if (expired.isErr()) return expired;
    this.slots.evictAll();
    this.#options.killGenerations(undefined);
    await delay(this.#options.settings.loadModelMilliseconds);
    this.#model = model;
    return ok();
  }

  #changeRole(role: EngineRole, expiresAt: number): OrderResult {
    const expired = this.#checkExpiry(expiresAt);
    if (expired.isErr()) return expired;
    this.#role = role;
    return ok();
  }
}
