import {
  type AdapterKey,
  adapterKey,
  type AdapterReference,
  type EngineId,
  later,
  milliseconds,
} from "@foxtailwind/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { StoreProfile } from "../workloads/workload.ts";
import type { EventQueue } from "./event_queue.ts";
import type { PolicyInbox } from "./policy_inbox.ts";
import { drawDelay } from "./random_delay.ts";
import type { EngineRun, SimulatedEngines } from "./simulated_engines.ts";
import { WeightStoreModel } from "./weight_store_model.ts";

const REPORT_DELAY = { minimum: 10, maximum: 120 };
const EVICTION_TIME = milliseconds(5);

/** What loads and evictions work with. */
export interface SimulatedLoadsParts {
  readonly queue: EventQueue;
  readonly engines: SimulatedEngines;
  readonly inbox: PolicyInbox;
  readonly random: RandomGenerator;
  readonly store: StoreProfile;
}

interface Move {
  readonly engine: EngineId;
  readonly run: EngineRun;
  readonly adapter: AdapterReference;
  readonly key: AdapterKey;
}

/** Loads and evictions in flight; their ends are reported late. */
export class SimulatedLoads {
  readonly #parts: SimulatedLoadsParts;
  readonly #store: WeightStoreModel;
  /** The share of loads that fail at present. */
  failureProbability = 0;
  loads = 0;
  failedLoads = 0;
  evictions = 0;

  /** @param parts What to work with. */
  constructor(parts: SimulatedLoadsParts) {
    this.#parts = parts;
    this.#store = new WeightStoreModel(parts.queue, parts.store);
  }

  /**
   * Begins a load.
   * @param engine The engine.
   * @param adapter The adapter.
   */
  load(engine: EngineId, adapter: AdapterReference): void {
    const move = this.#move(engine, adapter);
    move.run.model.loadStarted(move.key);
    this.loads += 1;
    this.#store.fetch(() => {
      this.#loadEnded(move);
    });
  }

  /**
   * Begins an eviction.
   * @param engine The engine.
   * @param adapter The adapter.
   */
  evict(engine: EngineId, adapter: AdapterReference): void {
    const { queue, inbox } = this.#parts;
    const move = this.#move(engine, adapter);
    move.run.model.evictionStarted(move.key);
    move.run.residentSince.delete(move.key);
    this.evictions += 1;
    queue.schedule(later(queue.now, EVICTION_TIME), () => {
      if (!this.#isCurrent(move)) return;
      move.run.model.evictionEnded(move.key);
      inbox.tell({ kind: "eviction_ended", engine, adapter });
    });
  }

  #move(engine: EngineId, adapter: AdapterReference): Move {
    const run = this.#parts.engines.get(engine);
    return { engine, run, adapter, key: adapterKey(adapter) };
  }

  #isCurrent(move: Move): boolean {
    return this.#parts.engines.find(move.engine) === move.run;
  }

  #loadEnded(move: Move): void {
    if (!this.#isCurrent(move)) return;
    const { queue, random } = this.#parts;
    const loaded = uniformFloat64(random) >= this.failureProbability;
    if (!loaded) this.failedLoads += 1;
    move.run.model.loadEnded(move.key, loaded);
    const told = later(queue.now, drawDelay(random, REPORT_DELAY));
    queue.schedule(told, () => {
      this.#report(move, loaded);
    });
  }

  #report(move: Move, loaded: boolean): void {
    if (!this.#isCurrent(move)) return;
    const { queue, inbox } = this.#parts;
    const { engine, adapter } = move;
    if (loaded) move.run.residentSince.set(move.key, queue.now);
    inbox.tell({ kind: "load_ended", engine, adapter, loaded });
  }
}
