import { assertInvariant, type Instant } from "../shared/mod.ts";
import {
  type AdapterName,
  createSlot,
  type OrderAnswer,
  type SlotLimits,
  type SlotOrder,
} from "./adapter_slot.ts";
import type { LoadRequests } from "./load_requests.ts";
import type { LoadTimes } from "./load_times.ts";
import type { OrderDeferrals } from "./order_deferrals.ts";
import type { SlotTable } from "./slot_table.ts";

/** The state of an engine's slots that answers to orders change. */
export interface OrderAnswersParts {
  readonly limits: SlotLimits;
  readonly table: SlotTable;
  readonly requests: LoadRequests;
  readonly loadTimes: LoadTimes;
  readonly deferrals: OrderDeferrals;
}

/** Applies an engine's answers to the state that its owner tracks. */
export class OrderAnswers {
  readonly #parts: OrderAnswersParts;

  /** @param parts The state to change. */
  constructor(parts: OrderAnswersParts) {
    this.#parts = parts;
  }

  /**
   * Applies the engine's answer to an order.
   * @param now The present time.
   * @param order The order.
   * @param answer The engine's answer.
   */
  apply(now: Instant, order: SlotOrder, answer: OrderAnswer): void {
    if (order.kind === "unload") this.#applyUnload(now, order.name, answer);
    else this.#applyLoad(now, order, answer);
  }

  #applyLoad(
    now: Instant,
    { name, version }: Extract<SlotOrder, { readonly kind: "load" }>,
    answer: OrderAnswer,
  ): void {
    const { limits, table, requests, loadTimes, deferrals } = this.#parts;
    const known = table.find(name);
    switch (answer) {
      case "holds":
      case "accepted": {
        const slot = createSlot(now, name, "loading", version);
        loadTimes.markOrdered(now, name, version);
        table.set({ ...slot, useCount: known?.useCount ?? 0 });
        requests.delete(name);
        break;
      }
      case "unknown":
        table.set(known ?? createSlot(now, name, "loading", version));
        break;
      case "conflict":
        deferrals.defer(now, name);
        break;
    }
    assertInvariant(
      table.size <= limits.slots,
      "adapter_slots_are_never_exceeded",
      () => `${table.size} adapters in ${limits.slots} slots.`,
    );
  }

  #applyUnload(now: Instant, name: AdapterName, answer: OrderAnswer): void {
    const { table, loadTimes, deferrals } = this.#parts;
    const slot = table.find(name);
    switch (answer) {
      case "holds":
        table.delete(name);
        loadTimes.markHeld(name);
        break;
      case "accepted":
        // It leaves once the requests that use it have ended; until then it is
        // not ordered again.
        if (slot !== undefined) table.set({ ...slot, state: "leaving" });
        deferrals.defer(now, name);
        break;
      case "unknown":
      case "conflict":
        deferrals.defer(now, name);
        break;
    }
  }
}
