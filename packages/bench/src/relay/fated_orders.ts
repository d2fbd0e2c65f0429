import type { EngineOrder, OrderResult } from "@foxtailwind/node/relay";
import type { OrderedAdapters } from "./ordered_adapters.ts";

/** How an order and its answer fare on their way. */
export type OrderFate =
  | "answered"
  /** Carried out at once; the answer is lost. */
  | "answer_lost"
  /** Not carried out until {@link FatedOrders.carryOutLate}. */
  | "late"
  /** Nothing arrives. */
  | "lost";

/** Orders on their way to a stand-in of an engine. */
export class FatedOrders {
  readonly #adapters: OrderedAdapters;
  readonly #late: EngineOrder[] = [];
  /** The fates of the next orders; those after them are answered. */
  nextFates: OrderFate[] = [];
  /** What is late is carried out once the engine has accepted so many. */
  carryOutLateAt: number | undefined;

  /** @param adapters Takes the orders that arrive. */
  constructor(adapters: OrderedAdapters) {
    this.#adapters = adapters;
  }

  /** How many orders are still on their way. */
  get lateCount(): number {
    return this.#late.length;
  }

  /**
   * Sends an order.
   * @param order The order.
   * @returns What its sender learns of it.
   */
  send(order: EngineOrder): OrderResult {
    const fate = this.nextFates.shift() ?? "answered";
    if (fate === "late") this.#late.push(order);
    if (fate === "late" || fate === "lost") return { kind: "unknown" };
    const result = this.#adapters.carryOut(order);
    if (this.#adapters.count === this.carryOutLateAt) this.carryOutLate();
    return fate === "answer_lost" ? { kind: "unknown" } : result;
  }

  /**
   * Carries out what is late, at whichever start the engine is in by now.
   * @returns What the engine made of each order.
   */
  carryOutLate(): readonly OrderResult[] {
    return this.#late.splice(0).map((order) => this.#adapters.carryOut(order));
  }
}
