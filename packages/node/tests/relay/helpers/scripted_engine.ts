import type { Failure, ModelId } from "@foxtailwind/core";
import {
  EngineControl,
  type EngineOrder,
  type EngineReport,
  type OrderResult,
} from "@foxtailwind/node/relay";
import { err, ok, type Result } from "neverthrow";

/** How an order's answer fares. */
export type OrderFate =
  | "answered"
  /** Carried out at once; the answer is lost. */
  | "answer_lost"
  /** Not carried out until {@link ScriptedEngine.carryOutLate}. */
  | "late"
  /** Nothing arrives. */
  | "lost";

const FAILURE: Failure = {
  reason: "unavailable",
  step: "read_engine",
  peer: "engine",
  message: "The engine is down.",
  outcome: "not_run",
};

/** An engine that counts its orders and checks what they expect. */
export class ScriptedEngine extends EngineControl {
  readonly slots: number;
  readonly held = new Set<string>();
  readonly inUse = new Set<string>();
  readonly orders: EngineOrder[] = [];
  models: readonly ModelId[] = [];
  count = 0;
  highestFence = 0;
  /** Whether it was ever ordered to hold more than fits. */
  isOverfull = false;
  isDown = false;
  nextFates: OrderFate[] = [];
  readonly #late: EngineOrder[] = [];

  /** @param slots How many adapters fit. */
  constructor(slots: number) {
    super();
    this.slots = slots;
  }

  override async order(
    _engine: unknown,
    order: EngineOrder,
  ): Promise<OrderResult> {
    await Promise.resolve();
    this.orders.push(order);
    if (this.isDown) return { kind: "unknown" };
    const fate = this.nextFates.shift() ?? "answered";
    if (fate === "late") this.#late.push(order);
    if (fate === "late" || fate === "lost") return { kind: "unknown" };
    const result = this.#carryOut(order);
    return fate === "answer_lost" ? { kind: "unknown" } : result;
  }

  override async report(): Promise<Result<EngineReport, Failure>> {
    await Promise.resolve();
    if (this.isDown) return err(FAILURE);
    const model = this.models[0];
    return ok({
      models: this.models,
      adapters: model === undefined ? [] : [...this.held].map((adapter) => ({
        model,
        adapter: adapter as never,
        version: 1,
      })),
      incoming: [],
      isBusy: false,
      orderCount: this.count,
    });
  }

  /** Carries out what was late. */
  carryOutLate(): void {
    for (const order of this.#late.splice(0)) this.#carryOut(order);
  }

  #carryOut(order: EngineOrder): OrderResult {
    if (order.fence < this.highestFence) return { kind: "fenced" };
    this.highestFence = order.fence;
    if (order.expectedOrders !== this.count) return { kind: "conflict" };
    const { adapter, model } = order;
    if (adapter === undefined) {
      this.models = [model];
      this.count += 1;
      return { kind: "accepted" };
    }
    if (order.kind === "unload") return this.#unload(adapter);
    if (this.held.has(adapter)) return { kind: "holds" };
    this.held.add(adapter);
    this.count += 1;
    if (this.held.size > this.slots) this.isOverfull = true;
    return { kind: "accepted" };
  }

  #unload(adapter: string): OrderResult {
    if (this.inUse.has(adapter)) return { kind: "conflict" };
    this.held.delete(adapter);
    this.count += 1;
    return { kind: "holds" };
  }
}
