import type { EngineOrder, OrderResult } from "@foxtailwind/node/relay";
import type { OrderedAdapters } from "./ordered_adapters.ts";

/** What happens to an order and its answer in transit. */
export type OrderFate =
  | "answered"
  /** Executed at once, but the answer is lost. */
  | "answer_lost"
  /** Executed only by {@link FatedOrders.carryOutLate}. */
  | "late"
  /** Never executed. */
  | "lost";

/** Delivers orders to a stand-in engine with scripted losses and delays. */
export class FatedOrders {
  readonly #adapters: OrderedAdapters;
  readonly #lateOrders: EngineOrder[] = [];
  /** The outcomes of the next orders; all later orders are answered. */
  nextFates: OrderFate[] = [];
  /** The accepted order count at which late orders are executed, if any. */
  carryOutLateAt: number | undefined;

  /** @param adapters The adapter state of the engine, which executes orders. */
  constructor(adapters: OrderedAdapters) {
    this.#adapters = adapters;
  }

  /** The number of late orders not yet executed. */
  get lateCount(): number {
    return this.#lateOrders.length;
  }

  /**
   * Sends an order.
   * @param order The order.
   * @returns The result that the sender sees; `unknown` without an answer.
   */
  send(order: EngineOrder): OrderResult {
    const fate = this.nextFates.shift() ?? "answered";
    if (fate === "late") this.#lateOrders.push(order);
    if (fate === "late" || fate === "lost") return { kind: "unknown" };
    const result = this.#adapters.carryOut(order);
    if (this.#adapters.count === this.carryOutLateAt) this.carryOutLate();
    return fate === "answer_lost" ? { kind: "unknown" } : result;
  }

  /**
   * Executes the late orders, even if the engine has restarted since.
   * @returns The engine's result for each order.
   */
  carryOutLate(): readonly OrderResult[] {
    return this.#lateOrders.splice(0).map((order) =>
      this.#adapters.carryOut(order)
    );
  }
}
