import { ScriptedOrderDelivery, StandInEngineState } from "@foxtailwind/bench";
import type { Failure } from "@foxtailwind/core";
import {
  EngineControl,
  type EngineOrder,
  type EngineReport,
  type OrderResult,
} from "@foxtailwind/node/relay";
import { err, ok, type Result } from "neverthrow";

const FAILURE: Failure = {
  reason: "unavailable",
  step: "read_engine",
  peer: "engine",
  message: "The engine is down.",
  outcome: "not_run",
};

/** An engine that counts orders and checks the counts that they expect. */
export class ScriptedEngine extends EngineControl {
  readonly orders: EngineOrder[] = [];
  readonly adapters: StandInEngineState;
  readonly fates: ScriptedOrderDelivery;
  isDown = false;
  /** The number of reports that were read. */
  reportCount = 0;
  /** Results of the next orders, which then don't reach the engine. */
  nextOrderResults: OrderResult[] = [];
  /** The next reports, in place of the engine's own. */
  nextReports: EngineReport[] = [];

  /** @param slots The number of adapter slots. */
  constructor(slots: number) {
    super();
    this.adapters = new StandInEngineState(slots);
    this.fates = new ScriptedOrderDelivery(this.adapters);
  }

  override async order(
    _engine: unknown,
    order: EngineOrder,
  ): Promise<OrderResult> {
    await Promise.resolve();
    this.orders.push(order);
    if (this.isDown) return { kind: "unknown" };
    return this.nextOrderResults.shift() ?? this.fates.send(order);
  }

  override async report(): Promise<Result<EngineReport, Failure>> {
    this.reportCount += 1;
    await Promise.resolve();
    if (this.isDown) return err(FAILURE);
    return ok(this.nextReports.shift() ?? this.adapters.report);
  }
}
