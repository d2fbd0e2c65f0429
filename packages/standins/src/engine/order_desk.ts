import type { ModelId } from "@foxtailwind/core";
import type {
  AdapterReference,
  EngineOrder,
  EngineRole,
  StatedFailure,
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
export type OrderResult = Result<void, StatedFailure>;

/** What a load suffers from. */
export interface LoadFaults {
  readonly extraMilliseconds: number;
  readonly fails: boolean;
}

/** What the orders act on. */
export interface OrderDeskOptions {
  readonly settings: FakeEngineSettings;
  readonly counters: FakeEngineCounters;
  /** Draws the faults of one load. */
  readonly drawLoadFaults: () => LoadFaults;
  /** Ends the generations of an adapter, or all of them. */
  readonly killUsers: (adapter: AdapterReference | undefined) => void;
}

/** Carries out orders, and keeps what they change. One for each boot. */
export class OrderDesk {
  readonly slots: AdapterSlots<OrderResult>;
  readonly #options: OrderDeskOptions;
  readonly #stopped = new AbortController();
  #model: string;
  #role: EngineRole;
  #highestFencing: number | undefined;

  /** @param options What the orders act on. */
  constructor(options: OrderDeskOptions) {
    this.#options = options;
    this.#model = options.settings.model;
    this.#role = options.settings.role;
    this.slots = new AdapterSlots(options.settings.adapterSlots);
  }

  /** The base model that is loaded. */
  get model(): string {
    return this.#model;
  }

  /** The role at present. */
  get role(): EngineRole {
    return this.#role;
  }

  /** The highest fencing number seen, where the engine checks it. */
  get highestFencing(): number | undefined {
    return this.#highestFencing;
  }

  /** Gives up all loads, as a restart does. */
  stop(): void {
    this.#stopped.abort();
  }

  /**
   * Carries out an order.
   * @param order The order.
   * @param now Milliseconds of a steady clock, at the order's arrival.
   * @returns Nothing, or why it was not carried out.
   */
  async carryOut(order: EngineOrder, now: number): Promise<OrderResult> {
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

  /** Fencing is checked on arrival only, as engines do. */
  #checkFencing(order: EngineOrder): OrderResult {
    if (!this.#options.settings.checksFencing) return ok();
    if (order.fencing < (this.#highestFencing ?? -Infinity)) {
      this.#options.counters.ordersFenced += 1;
      return err(refusal("fenced", `Fencing ${order.fencing} is old`));
    }
    this.#highestFencing = order.fencing;
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
    const known = this.slots.findLoad(adapter);
    if (known !== undefined) return await known.done;
    if (!this.slots.hasFreeSlot) {
      return err(refusal("overloaded", "No slot for an adapter is free"));
    }
    const done = this.#load(adapter, expiresAt);
    this.slots.startLoad({ adapter, done });
    return await done;
  }

  async #load(
    adapter: AdapterReference,
    expiresAt: number,
  ): Promise<OrderResult> {
    const faults = this.#options.drawLoadFaults();
    const fetched = await this.#fetch(adapter, faults);
    const result = fetched.andThen(() => this.#checkExpiry(expiresAt));
    const { counters } = this.#options;
    counters.loads += 1;
    if (result.isErr()) counters.loadsFailed += 1;
    this.slots.finishLoad(adapter, result.isOk());
    return result;
  }

  async #fetch(
    adapter: AdapterReference,
    faults: LoadFaults,
  ): Promise<OrderResult> {
    const { signal } = this.#stopped;
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
    this.#options.killUsers(adapter);
    return ok();
  }

  async #loadModel(model: ModelId, expiresAt: number): Promise<OrderResult> {
    const expired = this.#checkExpiry(expiresAt);
    if (expired.isErr()) return expired;
    this.slots.evictAll();
    this.#options.killUsers(undefined);
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
