import {
  assertInvariant,
  type EngineId,
  type Instant,
  instant,
} from "@foxtailwind/core";
import type { EngineProfile } from "../workloads/workload.ts";
import { type EngineListener, EngineModel } from "./engine_model.ts";
import type { EventQueue } from "./event_queue.ts";

/** One run of an engine's process, and what the policy was told of it. */
export interface EngineRun {
  readonly model: EngineModel;
  /** Since when the policy could know of each resident adapter. */
  readonly residentSince: Map<string, Instant>;
}

/** How fully the steps of all engines were used. */
export interface BatchUse {
  readonly steps: number;
  readonly sequences: number;
  readonly places: number;
}

/** The engines that run, and those that ran. */
export class SimulatedEngines {
  readonly #queue: EventQueue;
  readonly #profiles: ReadonlyMap<EngineId, EngineProfile>;
  readonly #running = new Map<EngineId, EngineRun>();
  readonly #all: EngineModel[] = [];

  /**
   * @param queue The virtual time.
   * @param profiles How the engines behave.
   */
  constructor(queue: EventQueue, profiles: readonly EngineProfile[]) {
    this.#queue = queue;
    this.#profiles = new Map(
      profiles.map((profile) => [profile.engine, profile]),
    );
  }

  /** How fully the steps of all engines were used. */
  get use(): BatchUse {
    const total = { steps: 0, sequences: 0, places: 0 };
    for (const { use } of this.#all) {
      total.steps += use.steps;
      total.sequences += use.sequences;
      total.places += use.places;
    }
    return total;
  }

  /**
   * Starts an engine with nothing loaded.
   * @param engine The engine.
   * @param listener Whom it tells.
   * @returns The run.
   */
  start(engine: EngineId, listener: EngineListener): EngineRun {
    const profile = this.#profiles.get(engine);
    assertInvariant(profile !== undefined, "known_engine", () => engine);
    const model = new EngineModel(this.#queue, { profile, listener });
    const run = { model, residentSince: new Map<string, Instant>() };
    this.#running.set(engine, run);
    this.#all.push(model);
    return run;
  }

  /**
   * Finds the present run of an engine.
   * @param engine The engine.
   * @returns The run, or nothing while it is down.
   */
  find(engine: EngineId): EngineRun | undefined {
    return this.#running.get(engine);
  }

  /**
   * Finds the present run of an engine that must be up.
   * @param engine The engine.
   * @returns The run.
   */
  get(engine: EngineId): EngineRun {
    const run = this.#running.get(engine);
    assertInvariant(
      run !== undefined,
      "orders_reach_running_engines",
      () => engine,
    );
    return run;
  }

  /**
   * Takes an engine down.
   * @param engine The engine.
   * @returns The run that ended.
   */
  stop(engine: EngineId): EngineRun {
    const run = this.get(engine);
    this.#running.delete(engine);
    return run;
  }

  /**
   * Tells since when the policy could know that an engine holds an adapter.
   * @param engine The engine.
   * @param key The adapter's key.
   * @returns The time; the start of the clock where it is not known.
   */
  residentSince(engine: EngineId, key: string): Instant {
    return this.get(engine).residentSince.get(key) ?? instant(0);
  }
}
