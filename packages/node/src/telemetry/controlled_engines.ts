import { adapterKey, type EngineController } from "@foxtailwind/core";
import {
  type EngineActivity,
  EngineActivitySource,
} from "./engine_activity.ts";

/** Reads the activity of engines from their controllers. */
export class ControlledEngines extends EngineActivitySource {
  readonly #controllers: () => Iterable<EngineController>;

  /** @param controllers Returns this node's current controllers. */
  constructor(controllers: () => Iterable<EngineController>) {
    super();
    this.#controllers = controllers;
  }

  override engines(): readonly EngineActivity[] {
    return Array.from(this.#controllers(), toEngineActivity);
  }
}

function toEngineActivity(controller: EngineController): EngineActivity {
  const { residency, waiting, running, engine, batchCapacity } = controller;
  const residences = [...residency.all];
  const inState = (state: "resident" | "loading") =>
    residences.filter((residence) => residence.state === state)
      .map((residence) => adapterKey(residence.adapter));
  return {
    engine,
    adapterSlots: residences.length + residency.freeSlots,
    batchCapacity,
    resident: inState("resident"),
    loading: inState("loading"),
    waiting,
    running,
  };
}
