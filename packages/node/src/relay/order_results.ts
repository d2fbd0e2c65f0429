import {
  type AdapterName,
  type EngineSlots,
  type Instant,
  milliseconds,
  type OrderPermission,
  type ReportTrigger,
  type SlotOrder,
} from "@foxtailwind/core";
import type { AdapterUses } from "./adapter_uses.ts";
import type { OrderRejection, OrderResult } from "./engine_control.ts";
import type { EngineLoads } from "./engine_loads.ts";
import type { EngineOrders } from "./engine_orders.ts";
import type { RejectionAction } from "./order_rejection.ts";

/** The interval between checks whether a load has finished. */
export const LOAD_CHECK_INTERVAL = milliseconds(20);

/** The state of one start of an engine that results of orders change. */
export interface OrderResultsParts {
  readonly slots: EngineSlots;
  readonly loads: EngineLoads;
  readonly uses: AdapterUses;
  readonly orders: EngineOrders;
  readonly reportTrigger: ReportTrigger;
  /** Records a rejected order and decides how the owner continues. */
  readonly reject: (
    rejection: OrderRejection,
    permission: OrderPermission,
  ) => RejectionAction;
  /** Stops sending orders to this start. */
  readonly stop: () => void;
}

/** Applies the results of orders to an engine and of checks of its loads. */
export class OrderResults {
  readonly #parts: OrderResultsParts;

  /** @param parts The state to change. */
  constructor(parts: OrderResultsParts) {
    this.#parts = parts;
  }

  /**
   * Applies the result of an order.
   * @param now The present time.
   * @param order The order.
   * @param result Its result.
   * @param permission The permission that it was sent with.
   */
  applyOrder(
    now: Instant,
    order: SlotOrder,
    result: OrderResult,
    permission: OrderPermission,
  ): void {
    const { slots, loads, orders, reportTrigger } = this.#parts;
    switch (result.kind) {
      case "holds":
      case "accepted":
        reportTrigger.recordAgreement();
        slots.applyAnswer(now, order, result.kind);
        orders.recordAccepted();
        if (order.kind === "unload") loads.recordEviction();
        break;
      case "conflict":
        slots.applyAnswer(now, order, "conflict");
        if (reportTrigger.recordConflict()) this.scheduleReport(now);
        break;
      case "unknown":
        slots.applyAnswer(now, order, "unknown");
        this.scheduleReport(now);
        break;
      case "fenced":
      case "misdirected":
      case "invalid":
        this.#applyRejection(now, result, permission);
    }
  }

  /**
   * Applies the result of a check whether a load has finished.
   * @param now The present time.
   * @param name The adapter.
   * @param result The result.
   * @param permission The permission that the check was sent with.
   */
  applyLoadCheck(
    now: Instant,
    name: AdapterName,
    result: OrderResult,
    permission: OrderPermission,
  ): void {
    const { slots, loads, uses, reportTrigger } = this.#parts;
    switch (result.kind) {
      case "holds":
        reportTrigger.recordAgreement();
        loads.markLoaded(now, name);
        uses.grantLoadedAdapters();
        break;
      case "conflict":
        slots.postponeLoadCheck(now, name, LOAD_CHECK_INTERVAL);
        if (reportTrigger.recordConflict()) this.scheduleReport(now);
        break;
      case "accepted":
      case "unknown":
        slots.postponeLoadCheck(now, name, LOAD_CHECK_INTERVAL);
        break;
      case "fenced":
      case "misdirected":
      case "invalid":
        this.#applyRejection(now, result, permission);
    }
  }

  /**
   * Discards the order count and schedules a report of the engine.
   * @param now The present time.
   */
  scheduleReport(now: Instant): void {
    const { orders, reportTrigger } = this.#parts;
    orders.forgetCount();
    reportTrigger.schedule(now);
  }

  #applyRejection(
    now: Instant,
    rejection: OrderRejection,
    permission: OrderPermission,
  ): void {
    const action = this.#parts.reject(rejection, permission);
    if (action === "stop") this.#parts.stop();
    if (action === "ask_again") this.scheduleReport(now);
  }
}
