import { OrderedAdapters } from "@foxtailwind/bench";
import type { Failure } from "@foxtailwind/core";
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
  readonly orders: EngineOrder[] = [];
  readonly adapters: OrderedAdapters;
  isDown = false;
  nextFates: OrderFate[] = [];
  readonly #late: EngineOrder[] = [];

  /** @param slots How many adapters fit. */
  constructor(slots: number) {
    super();
    this.adapters = new OrderedAdapters(slots);
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
    const result = this.adapters.carryOut(order);
    return fate === "answer_lost" ? { kind: "unknown" } : result;
  }

  override async report(): Promise<Result<EngineReport, Failure>> {
    await Promise.resolve();
    if (this.isDown) return err(FAILURE);
    return ok(this.adapters.report);
  }

  /** Carries out what was late. */
  carryOutLate(): void {
    for (const order of this.#late.splice(0)) this.adapters.carryOut(order);
  }
}
