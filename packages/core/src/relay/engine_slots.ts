import {
  assertInvariant,
  type Duration,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import {
  type AdapterName,
  type AdapterSlot,
  isUnused,
  keyOf,
  newSlot,
  type OrderAnswer,
  type SlotOrder,
  type SlotTerms,
  type WantedAdapter,
} from "./adapter_slot.ts";
import { AdapterWishes } from "./adapter_wishes.ts";
import { chooseVictim } from "./choose_victim.ts";
import { type LoadCheck, LoadTimes } from "./load_times.ts";
import { SlotTable } from "./slot_table.ts";

/** An adapter that can't leave yet is left alone for so long. */
const BUSY_TIME = milliseconds(300);

/**
 * The adapter slots of one engine, as its owner knows them. Each adapter that
 * may be there takes a slot, so that no order ever asks for more than fit.
 */
export class EngineSlots {
  readonly #terms: SlotTerms;
  readonly #table = new SlotTable();
  readonly #wishes = new AdapterWishes();
  readonly #busyUntil = new Map<string, Instant>();
  readonly #loads: LoadTimes;
  #reserved = 0;

  /** @param terms The engine's bounds. */
  constructor(terms: SlotTerms) {
    this.#terms = terms;
    this.#loads = new LoadTimes(terms.kept);
  }

  /** The adapters that take a slot. */
  get slots(): readonly AdapterSlot[] {
    return this.#table.all;
  }

  /**
   * Keeps slots free for adapters that may come without an order of now.
   * @param slots How many.
   */
  reserve(slots: number): void {
    this.#reserved = slots;
  }

  /** How many adapters are asked for and not yet ordered. */
  get waiting(): number {
    return this.#wishes.size;
  }

  /**
   * Finds the slot of an adapter.
   * @param name The adapter.
   * @returns The slot, or nothing.
   */
  find(name: AdapterName): AdapterSlot | undefined {
    return this.#table.find(name);
  }

  /**
   * Replaces what is known by what the engine itself reports. Uses are kept.
   * @param now The present time.
   * @param held What it holds, with versions.
   * @param incoming What is on its way to it.
   */
  reported(
    now: Instant,
    held: readonly (AdapterName & { readonly version: number })[],
    incoming: readonly AdapterName[],
  ): void {
    this.#table.replace(now, held, incoming);
    for (const slot of this.slots) this.#loads.seen(slot);
  }

  /**
   * Uses an adapter for a request, where it is there in a version new enough.
   * @param now The present time.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @returns The version in use, or nothing where it has to be awaited.
   */
  use(
    now: Instant,
    name: AdapterName,
    minimumVersion: number,
  ): number | undefined {
    const slot = this.find(name);
    if (slot?.state !== "resident") return undefined;
    if (slot.version < minimumVersion) return undefined;
    this.#table.set({ ...slot, uses: slot.uses + 1, lastUse: now });
    return slot.version;
  }

  /**
   * Ends a use.
   * @param now The present time.
   * @param name The adapter.
   */
  release(now: Instant, name: AdapterName): void {
    const slot = this.find(name);
    if (slot === undefined || slot.uses === 0) return;
    this.#table.set({ ...slot, uses: slot.uses - 1, lastUse: now });
  }

  /**
   * Asks for an adapter that is not there in the wanted version.
   * @param now The present time.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   */
  want(now: Instant, name: AdapterName, minimumVersion: number): void {
    this.#wishes.add(now, name, minimumVersion);
  }

  /**
   * Takes back a wish, where nobody waits any more.
   * @param name The adapter.
   */
  forgetWish(name: AdapterName): void {
    this.#wishes.delete(name);
  }

  /**
   * Tells whether an adapter could be brought in before long: a slot is free
   * or holds an adapter that no request uses.
   * @param now The present time.
   * @param name The adapter.
   * @returns Whether it could.
   */
  canTake(now: Instant, name: AdapterName): boolean {
    const slot = this.find(name);
    if (slot !== undefined) return slot.state !== "leaving" && slot.uses === 0;
    return this.room(now) > 0;
  }

  /**
   * Estimates how long an adapter takes to load.
   * @param name The adapter.
   * @returns The time.
   */
  loadTime(name: AdapterName): Duration {
    return this.#loads.timeOf(name);
  }

  /**
   * Decides the next order.
   * @param now The present time.
   * @returns The order, or nothing where none is useful or possible now.
   */
  nextOrder(now: Instant): SlotOrder | undefined {
    if (this.#loading() >= this.#terms.transfers) return undefined;
    const wish = this.#wishes.all.find((one) => this.#isOrderable(now, one));
    if (wish === undefined) return undefined;
    const isReplacement = this.find(wish) !== undefined;
    if (isReplacement || this.#table.size < this.#usable) {
      return { kind: "load", name: wish, version: wish.minimumVersion };
    }
    const victim = chooseVictim(
      this.slots.filter((slot) => !this.#isBusy(now, keyOf(slot))),
      (slot) => this.#wishes.has(slot),
    );
    return victim === undefined ? undefined : { kind: "unload", name: victim };
  }

  /**
   * Takes note of the answer to an order.
   * @param now The present time.
   * @param order The order.
   * @param answer What the engine answered.
   */
  answered(now: Instant, order: SlotOrder, answer: OrderAnswer): void {
    if (order.kind === "unload") this.#unloadAnswered(now, order.name, answer);
    else this.#loadAnswered(now, order, answer);
  }

  /**
   * Takes note that an ordered adapter is there.
   * @param now The present time.
   * @param name The adapter.
   */
  loaded(now: Instant, name: AdapterName): void {
    const slot = this.find(name);
    if (slot?.state !== "loading") return;
    this.#loads.ended(name);
    this.#table.set({ ...slot, state: "resident", since: now, lastUse: now });
  }

  /**
   * Tells which load should have ended first.
   * @returns The adapter, and when to ask whether it is there.
   */
  nextCheck(): LoadCheck | undefined {
    return this.#loads.next(this.slots);
  }

  /**
   * Takes note that a load has not ended yet.
   * @param now The present time.
   * @param name The adapter.
   * @param pause When to ask again.
   */
  checkAgain(now: Instant, name: AdapterName, pause: Duration): void {
    this.#loads.askAt(name, later(now, pause));
  }

  /**
   * Counts the adapters that could come without waiting for a request.
   * @param now The present time.
   * @returns The count.
   */
  room(now: Instant): number {
    const idle = this.slots.filter((one) => this.#isIdle(now, one)).length;
    const free = this.#usable - this.#table.size;
    return Math.max(0, free + idle - this.#wishes.size);
  }

  #loadAnswered(
    now: Instant,
    { name, version }: { readonly name: AdapterName; readonly version: number },
    answer: OrderAnswer,
  ): void {
    switch (answer) {
      case "holds":
      case "accepted": {
        const uses = this.find(name)?.uses ?? 0;
        const slot = newSlot(now, name, "loading", version);
        this.#table.set({ ...slot, uses });
        this.#wishes.delete(name);
        break;
      }
      case "unknown":
        this.#table.set(
          this.find(name) ?? newSlot(now, name, "loading", version),
        );
        break;
      case "conflict":
        this.#busyUntil.set(keyOf(name), later(now, BUSY_TIME));
        break;
    }
    assertInvariant(
      this.#table.size <= this.#terms.slots,
      "adapter_slots_are_never_exceeded",
      () => `${this.#table.size} adapters in ${this.#terms.slots} slots.`,
    );
  }

  #unloadAnswered(now: Instant, name: AdapterName, answer: OrderAnswer): void {
    const slot = this.find(name);
    switch (answer) {
      case "holds":
        this.#table.delete(name);
        break;
      case "accepted":
        // It leaves once its runs have ended; until then it is not asked again.
        if (slot !== undefined) this.#table.set({ ...slot, state: "leaving" });
        this.#busyUntil.set(keyOf(name), later(now, BUSY_TIME));
        break;
      case "unknown":
      case "conflict":
        this.#busyUntil.set(keyOf(name), later(now, BUSY_TIME));
        break;
    }
  }

  get #usable(): number {
    return this.#terms.slots - this.#reserved;
  }

  #loading(): number {
    return this.slots.filter((slot) => slot.state === "loading").length;
  }

  #isOrderable(now: Instant, wish: WantedAdapter): boolean {
    if (this.#isBusy(now, wish.key)) return false;
    const slot = this.find(wish);
    if (slot === undefined) return true;
    return isUnused(slot);
  }

  #isIdle(now: Instant, slot: AdapterSlot): boolean {
    return isUnused(slot) && !this.#isBusy(now, keyOf(slot));
  }

  #isBusy(now: Instant, key: string): boolean {
    return (this.#busyUntil.get(key) ?? 0) > now;
  }
}
