import type { EngineOrder, OrderResult } from "@foxtailwind/node/relay";
import type { StandInEngineState } from "./stand_in_engine_state.ts";

/** What happens to an order and its answer in transit. */
export type DeliveryOutcome =
  | "answered"
  /** Executed at once, but the answer is lost. */
  | "answer_lost"
  /** Executed only by {@link ScriptedOrderDelivery.executeLate}. */
  | "late"
  /** Never executed. */
  | "lost";

/** Delivers orders to a stand-in engine with scripted losses and delays. */
export class ScriptedOrderDelivery {
  readonly #adapters: StandInEngineState;
  readonly #lateOrders: EngineOrder[] = [];
  /** The outcomes of the next orders; all later orders are answered. */
  nextOutcomes: DeliveryOutcome[] = [];
  /** The accepted order count at which late orders are executed, if any. */
  executeLateAtCount: number | undefined;

  /** @param adapters The adapter state of the engine, which executes orders. */
  constructor(adapters: StandInEngineState) {
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
    const outcome = this.nextOutcomes.shift() ?? "answered";
    if (outcome === "late") this.#lateOrders.push(order);
    if (outcome === "late" || outcome === "lost") return { kind: "unknown" };
    const result = this.#adapters.execute(order);
    if (this.#adapters.orderCount === this.executeLateAtCount) {
      this.executeLate();
    }
    return outcome === "answer_lost" ? { kind: "unknown" } : result;
  }

  /**
   * Executes the late orders, even if the engine has restarted since.
   * @returns The engine's result for each order.
   */
  executeLate(): readonly OrderResult[] {
    return this.#lateOrders.splice(0).map((order) =>
      this.#adapters.execute(order)
    );
  }
}
