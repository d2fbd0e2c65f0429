import { type Duration, type Instant, later } from "../shared/mod.ts";
import {
  type AdapterName,
  type AdapterSlot,
  isIdleSlot,
  type LoadRequest,
  type LoadUrgency,
  type OrderAnswer,
  type SlotLimits,
  type SlotOrder,
} from "./adapter_slot.ts";
import { LoadRequests, UNLIMITED_WAIT } from "./load_requests.ts";
import { chooseVictim } from "./eviction_victim.ts";
import {
  type ExpectedLoadTimes,
  type LoadCheck,
  LoadTimes,
} from "./load_times.ts";
import type { LoadSource } from "./residency/learned_load_times.ts";
import type { RecentAdapters } from "./residency/recent_adapters.ts";
import { SlotValues } from "./residency/slot_values.ts";
import { OrderAnswers } from "./order_answers.ts";
import { OrderDeferrals } from "./order_deferrals.ts";
import { SlotCapacity } from "./slot_capacity.ts";
import { SlotTable } from "./slot_table.ts";

/**
 * The adapter slots of one engine, as tracked by its owner. Each adapter that
 * may be on the engine takes a slot and memory, so that orders never ask for
 * more adapters than fit.
 */
export class EngineSlots {
  readonly #limits: SlotLimits;
  readonly #capacity: SlotCapacity;
  readonly #table = new SlotTable();
  readonly #requests = new LoadRequests();
  readonly #deferrals = new OrderDeferrals();
  readonly #loadTimes: LoadTimes;
  readonly #answers: OrderAnswers;
  readonly #values = new SlotValues(() =>
    this.#loadTimes.estimateFrom("cache")
  );

  /**
   * @param limits The engine's limits.
   * @param heldBefore What the engine has held since its start under an earlier
   * owner, if known.
   */
  constructor(limits: SlotLimits, heldBefore?: RecentAdapters) {
    this.#limits = limits;
    this.#capacity = new SlotCapacity(limits.slots, limits.memory);
    this.#loadTimes = new LoadTimes(limits, heldBefore);
    this.#answers = new OrderAnswers({
      limits,
      table: this.#table,
      requests: this.#requests,
      loadTimes: this.#loadTimes,
      deferrals: this.#deferrals,
    });
  }

  /** The expected load times, as learned from the engine's loads. */
  get loadTimes(): ExpectedLoadTimes {
    return this.#loadTimes;
  }

  /** The adapters that occupy a slot. */
  get slots(): readonly AdapterSlot[] {
    return this.#table.all;
  }

  /**
   * Reserves room for adapters that may still be loaded by earlier orders.
   * @param slots The number of slots to keep free.
   */
  reserve(slots: number): void {
    this.#capacity.reserve(slots);
  }

  /**
   * Checks whether an adapter fits on the engine at all.
   * @param name The adapter.
   * @returns Whether it does while no other is loaded.
   */
  canHold(name: AdapterName): boolean {
    return this.#capacity.canHold(name);
  }

  /**
   * Checks whether memory has room for another version of an adapter beside the
   * present one.
   * @param name The adapter.
   * @returns Whether it does.
   */
  canReplace(name: AdapterName): boolean {
    return this.#capacity.hasRoom(this.slots, name, true);
  }

  /** The number of adapters that are requested and not yet ordered. */
  get pendingLoads(): number {
    return this.#requests.size;
  }

  /**
   * Finds the slot of an adapter.
   * @param name The adapter.
   * @returns The slot, or `undefined`.
   */
  find(name: AdapterName): AdapterSlot | undefined {
    return this.#table.find(name);
  }

  /**
   * Replaces the known state with the engine's own report. Use counts are kept.
   * @param now The present time.
   * @param held The adapters that the engine holds, with versions.
   * @param loading The adapters that are being loaded.
   */
  applyReport(
    now: Instant,
    held: readonly (AdapterName & { readonly version: number })[],
    loading: readonly AdapterName[],
  ): void {
    this.#table.replace(now, held, loading);
    this.#loadTimes.forgetLoads();
    for (const slot of this.slots) this.#loadTimes.markHeld(slot, slot.version);
  }

  /**
   * Marks an adapter as used by a request if it is resident in a recent enough
   * version.
   * @param now The present time.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @returns The version in use, or `undefined` if the request has to wait for
   * it.
   */
  acquire(
    now: Instant,
    name: AdapterName,
    minimumVersion: number,
  ): number | undefined {
    const slot = this.find(name);
    if (slot?.state !== "resident") return undefined;
    if (slot.version < minimumVersion) return undefined;
    this.#table.countUses(now, slot, 1);
    this.#values.recordUse(now, slot);
    return slot.version;
  }

  /**
   * Ends one use of an adapter.
   * @param now The present time.
   * @param name The adapter.
   */
  release(now: Instant, name: AdapterName): void {
    const slot = this.find(name);
    if (slot === undefined || slot.useCount === 0) return;
    this.#table.countUses(now, slot, -1);
  }

  /**
   * Requests an adapter that is not resident in the required version.
   * @param now The present time.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @param urgency How urgently it is needed.
   */
  requestLoad(
    now: Instant,
    name: AdapterName,
    minimumVersion: number,
    urgency: LoadUrgency = UNLIMITED_WAIT,
  ): void {
    this.#requests.add(now, name, minimumVersion, urgency);
  }

  /**
   * Cancels the requests for adapters that nobody would wait for until they are
   * loaded, even if their loads began now.
   * @param now The present time.
   * @returns The adapters, whose waiters can be refused.
   */
  cancelLateLoadRequests(now: Instant): readonly AdapterName[] {
    const late = this.#requests.all.filter((request) =>
      later(now, this.loadTime(request, request.minimumVersion)) >
        request.wantedUntil
    );
    for (const request of late) this.#requests.delete(request);
    return late;
  }

  /**
   * Cancels the request for an adapter that nobody waits for any longer.
   * @param name The adapter.
   */
  cancelLoadRequest(name: AdapterName): void {
    this.#requests.delete(name);
  }

  /**
   * Checks whether an adapter could be loaded soon: a slot is free, or holds an
   * adapter that no request uses.
   * @param now The present time.
   * @param name The adapter.
   * @returns Whether it could be loaded.
   */
  canLoad(now: Instant, name: AdapterName): boolean {
    const slot = this.find(name);
    if (!this.canHold(name)) return false;
    if (slot !== undefined) {
      return slot.state !== "leaving" && slot.useCount === 0;
    }
    return this.availableSlots(now, name) > 0;
  }

  /**
   * Estimates how long an adapter takes to load.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @returns The time.
   */
  loadTime(name: AdapterName, minimumVersion = 0): Duration {
    return this.#loadTimes.estimate(name, minimumVersion);
  }

  /**
   * Decides which order to send to the engine next.
   * @param now The present time.
   * @returns The order, or `undefined` if none is useful or possible now.
   */
  nextOrder(now: Instant): SlotOrder | undefined {
    if (this.#table.loadingCount >= this.#limits.concurrentLoads) {
      return undefined;
    }
    const request = this.#requests.all.find((one) =>
      this.#canOrderLoad(now, one)
    );
    if (request === undefined) return undefined;
    const replaced = this.find(request);
    const hasRoom = replaced === undefined
      ? this.#capacity.hasRoom(this.slots, request, false)
      : this.canReplace(request);
    if (hasRoom) {
      return { kind: "load", name: request, version: request.minimumVersion };
    }
    // Without memory for both versions, the older one is unloaded first.
    const victim = this.#chooseVictim(now) ?? replaced;
    return victim === undefined ? undefined : { kind: "unload", name: victim };
  }

  /**
   * Applies the engine's answer to an order.
   * @param now The present time.
   * @param order The order.
   * @param answer The engine's answer.
   */
  applyAnswer(now: Instant, order: SlotOrder, answer: OrderAnswer): void {
    this.#answers.apply(now, order, answer);
  }

  /**
   * Records that an ordered adapter is resident.
   * @param now The present time.
   * @param name The adapter.
   * @returns Where it was loaded from, or `undefined` if its load wasn't
   * measured.
   */
  markLoaded(now: Instant, name: AdapterName): LoadSource | undefined {
    const slot = this.find(name);
    if (slot?.state !== "loading") return undefined;
    this.#table.set({ ...slot, state: "resident", since: now, lastUsed: now });
    return this.#loadTimes.markLoaded(now, name, slot.version);
  }

  /**
   * Finds the load that should have completed first.
   * @returns The adapter and the time to check it, or `undefined`.
   */
  nextLoadCheck(): LoadCheck | undefined {
    return this.#loadTimes.nextCheck(this.slots);
  }

  /**
   * Records that a load has not completed yet.
   * @param now The present time.
   * @param name The adapter.
   * @param delay The time until the next check.
   */
  postponeLoadCheck(now: Instant, name: AdapterName, delay: Duration): void {
    this.#loadTimes.postponeCheck(now, name, delay);
  }

  /**
   * Counts the adapters that could be loaded without waiting for a request to
   * end.
   * @param now The present time.
   * @param name One of them; by default, they are of the largest size.
   * @returns The count.
   */
  availableSlots(now: Instant, name?: AdapterName): number {
    const occupancy = {
      held: this.slots,
      evictable: this.slots.filter((one) => this.#isEvictable(now, one)),
      requested: this.#requests.all,
    };
    return this.#capacity.countAvailable(occupancy, name);
  }

  /** Chooses the adapter to unload next. */
  #chooseVictim(now: Instant): AdapterSlot | undefined {
    return chooseVictim(
      this.slots.filter((slot) => !this.#deferrals.has(now, slot)),
      {
        isWanted: (slot) => this.#requests.has(slot),
        costOf: (slot) => this.#values.evictionLoss(now, slot),
      },
    );
  }

  #canOrderLoad(now: Instant, request: LoadRequest): boolean {
    if (!this.canHold(request) || this.#deferrals.has(now, request)) {
      return false;
    }
    const slot = this.find(request);
    return slot === undefined || isIdleSlot(slot);
  }

  #isEvictable(now: Instant, slot: AdapterSlot): boolean {
    return isIdleSlot(slot) && !this.#deferrals.has(now, slot);
  }
}
