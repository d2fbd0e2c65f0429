import {
  DispatchHistory,
  EngineRequests,
  EngineTimings,
  PREEMPTION_TARGET_RATIO,
} from "../dispatch/mod.ts";
import {
  type AdapterStanding,
  type AdapterWithStanding,
  type EngineSummary,
  EngineView,
  expectedBatchWait,
  hashText,
} from "../placement/mod.ts";
import { EngineResidency } from "../residency/mod.ts";
import {
  type AdapterKey,
  type Duration,
  type EngineId,
  type Instant,
} from "../shared/mod.ts";
import {
  AdapterValueEstimator,
  type AdapterValueParts,
} from "./adapter_value_estimator.ts";
import type { EngineCapacity } from "./engine_event.ts";
import { LoadPlanner } from "./load_planner.ts";

/** The dependencies of an engine controller. */
export interface EngineControllerParts extends AdapterValueParts {
  readonly engine: EngineId;
  readonly capacity: EngineCapacity;
}

/** The maximum number of awaited adapters in a summary. */
const MAXIMUM_SUMMARISED_AWAITED = 64;
/**
 * The time per token of an engine of average speed, in milliseconds. Engine
 * weights are relative to it.
 */
const REFERENCE_TOKEN_MILLISECONDS = 20;
/**
 * The maximum share of a batch that is reserved for requests of other
 * controllers.
 */
const MAXIMUM_FOREIGN_SHARE = 0.5;

/** The view of a locally controlled engine that routers use. */
export abstract class EngineControllerView extends EngineView {
  override readonly engine: EngineId;
  override readonly hash: number;
  protected readonly parts: EngineControllerParts;
  /** The adapters in the engine's slots. */
  readonly residency: EngineResidency;
  protected readonly engineRequests = new EngineRequests();
  protected readonly timings = new EngineTimings();
  protected readonly dispatchHistory = new DispatchHistory();
  protected readonly planner: LoadPlanner;
  /** The number of requests from others, estimated from engine reports. */
  protected foreignRequests = 0;

  /** @param parts The dependencies of the controller. */
  constructor(parts: EngineControllerParts) {
    super();
    this.engine = parts.engine;
    this.hash = hashText(parts.engine);
    this.parts = parts;
    this.residency = new EngineResidency(parts.capacity.adapterSlots);
    this.planner = new LoadPlanner({
      engine: parts.engine,
      residency: this.residency,
      engineRequests: this.engineRequests,
      value: new AdapterValueEstimator(parts),
    });
  }

  /** The number of waiting requests. */
  get waiting(): number {
    return this.engineRequests.waiting;
  }

  /** The number of requests with a place in the batch. */
  get running(): number {
    return this.engineRequests.running.size;
  }

  /** The number of adapters that blocked requests wait for. */
  get awaitedAdapters(): number {
    return this.engineRequests.blocked.adapterCount;
  }

  override get weight(): number {
    const relativeSpeed = Math.sqrt(
      REFERENCE_TOKEN_MILLISECONDS / Math.max(1, this.timings.tokenTime),
    );
    return this.parts.capacity.adapterSlots * relativeSpeed;
  }

  override get batchCapacity(): number {
    return this.parts.capacity.batchCapacity;
  }

  override get firstTokenTime(): Duration {
    return this.timings.firstTokenTime;
  }

  override get serviceTime(): Duration {
    return this.timings.serviceTime;
  }

  override standing(key: AdapterKey): AdapterStanding {
    const residence = this.residency.find(key);
    if (residence?.state === "resident") return "resident";
    if (residence?.state === "loading") return "loading";
    if (this.planner.isAwaitingEviction(key)) return "loading";
    return this.engineRequests.blocked.has(key) ? "awaited" : "absent";
  }

  override batchWait(_now: Instant, target: Duration): Duration {
    return expectedBatchWait({
      places: this.places(),
      running: this.engineRequests.running.size,
      preemptible: this.engineRequests.countRunningAtLeast(
        PREEMPTION_TARGET_RATIO * target,
      ),
      ahead: this.engineRequests.ready.countAhead(target),
      serviceTime: this.timings.serviceTime,
    });
  }

  override canMakeRoom(): boolean {
    return this.residency.freeSlots > 0 || this.residency.hasIdle();
  }

  override evictionCost(now: Instant): number {
    return this.planner.roomLoss(now);
  }

  override loadsAhead(target: Duration): number {
    return Math.min(
      this.engineRequests.blocked.adapterCount,
      this.engineRequests.countBlockedAhead(target),
    );
  }

  /** The engine's state for other nodes, without its adapters. */
  get summary(): EngineSummary {
    return {
      engine: this.engine,
      weight: this.weight,
      firstTokenTime: this.firstTokenTime,
      serviceTime: this.serviceTime,
      batchCapacity: this.batchCapacity,
      places: this.places(),
      running: this.running,
      awaitedAdapters: this.awaitedAdapters,
      canMakeRoom: this.canMakeRoom(),
      ready: this.engineRequests.ready.byTarget,
      blocked: this.engineRequests.blockedByTarget,
      runningByTarget: this.engineRequests.runningByTarget,
    };
  }

  /**
   * Lists the adapters that are in slots or awaited.
   * @returns The adapters, with a limited number of awaited ones.
   */
  standings(): readonly AdapterWithStanding[] {
    const standings = new Map<AdapterKey, AdapterWithStanding>();
    for (const { key, adapter } of this.residency.all) {
      standings.set(key, { key, adapter, standing: this.standing(key) });
    }
    for (const { key, adapter } of this.engineRequests.blocked.queues) {
      if (standings.size >= this.#slots() + MAXIMUM_SUMMARISED_AWAITED) break;
      standings.set(key, { key, adapter, standing: this.standing(key) });
    }
    return [...standings.values()];
  }

  #slots(): number {
    return this.parts.capacity.adapterSlots;
  }

  /** The number of batch places available to this controller's requests. */
  protected places(): number {
    const { batchCapacity } = this.parts.capacity;
    const others = Math.min(
      this.foreignRequests,
      MAXIMUM_FOREIGN_SHARE * batchCapacity,
    );
    return Math.max(1, Math.floor(batchCapacity - others));
  }
}
