import {
  EnginePace,
  OwnHistory,
  RequestBook,
  TARGET_RATIO,
} from "../dispatch/mod.ts";
import {
  type AdapterStanding,
  type EngineSummary,
  EngineView,
  placeWait,
  type StandingAdapter,
  textHash,
} from "../placement/mod.ts";
import { EngineResidency } from "../residency/mod.ts";
import {
  type AdapterKey,
  type Duration,
  type EngineId,
  type Instant,
} from "../shared/mod.ts";
import { AdapterValue, type AdapterValueParts } from "./adapter_value.ts";
import type { EngineCapacity } from "./engine_event.ts";
import { LoadPlanner } from "./load_planner.ts";

/** What a controller works with. */
export interface EngineControllerParts extends AdapterValueParts {
  readonly engine: EngineId;
  readonly capacity: EngineCapacity;
}

/** How many awaited adapters a summary names. */
const SUMMARISED_AWAITED = 64;
/** A pace that an engine of middling speed has, for weights of homes. */
const COMMON_TOKEN_TIME = 20;
/** Others' requests take at most this share of a batch away from us. */
const OTHERS_SHARE = 0.5;

/** The state of an engine that is controlled here, as routers view it. */
export abstract class EngineControllerView extends EngineView {
  override readonly engine: EngineId;
  override readonly hash: number;
  protected readonly parts: EngineControllerParts;
  /** The adapters in slots. */
  readonly residency: EngineResidency;
  protected readonly book = new RequestBook();
  protected readonly pace = new EnginePace();
  protected readonly history = new OwnHistory();
  protected readonly planner: LoadPlanner;
  /** How many requests of others the engine holds, by its report. */
  protected others = 0;

  /** @param parts What the controller works with. */
  constructor(parts: EngineControllerParts) {
    super();
    this.engine = parts.engine;
    this.hash = textHash(parts.engine);
    this.parts = parts;
    this.residency = new EngineResidency(parts.capacity.adapterSlots);
    this.planner = new LoadPlanner({
      engine: parts.engine,
      residency: this.residency,
      book: this.book,
      value: new AdapterValue(parts),
    });
  }

  /** How many requests wait. */
  get waiting(): number {
    return this.book.waiting;
  }

  /** How many requests have a place in the batch. */
  get running(): number {
    return this.book.running.size;
  }

  /** How many adapters are waited for. */
  get awaitedAdapters(): number {
    return this.book.blocked.adapters;
  }

  override get weight(): number {
    const pace = Math.sqrt(COMMON_TOKEN_TIME / Math.max(1, this.pace.token));
    return this.parts.capacity.adapterSlots * pace;
  }

  override get batchCapacity(): number {
    return this.parts.capacity.batchCapacity;
  }

  override get firstTokenTime(): Duration {
    return this.pace.firstToken;
  }

  override get serviceTime(): Duration {
    return this.pace.service;
  }

  override standing(key: AdapterKey): AdapterStanding {
    const residence = this.residency.find(key);
    if (residence?.state === "resident") return "resident";
    if (residence?.state === "loading") return "loading";
    if (this.planner.isAwaiting(key)) return "loading";
    return this.book.blocked.has(key) ? "awaited" : "absent";
  }

  override placeWait(_now: Instant, target: Duration): Duration {
    return placeWait({
      places: this.places(),
      running: this.book.running.size,
      yielding: this.book.runningAtLeast(TARGET_RATIO * target),
      ahead: this.book.ready.countAhead(target),
      serviceTime: this.pace.service,
    });
  }

  override canMakeRoom(): boolean {
    return this.residency.freeSlots > 0 || this.residency.hasIdle();
  }

  override roomLoss(now: Instant): number {
    return this.planner.roomLoss(now);
  }

  override loadsAhead(target: Duration): number {
    return Math.min(
      this.book.blocked.adapters,
      this.book.blockedAhead(target),
    );
  }

  /** What other nodes are told, besides the adapters. */
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
      ready: this.book.ready.loads,
      blocked: this.book.blockedLoads,
      runningByTarget: this.book.runningLoads,
    };
  }

  /**
   * Lists the adapters that are here or waited for.
   * @returns The adapters; of those waited for, only some.
   */
  standings(): readonly StandingAdapter[] {
    const standings = new Map<AdapterKey, StandingAdapter>();
    for (const { key, adapter } of this.residency.all) {
      standings.set(key, { key, adapter, standing: this.standing(key) });
    }
    for (const { key, adapter } of this.book.blocked.lines) {
      if (standings.size >= this.#slots() + SUMMARISED_AWAITED) break;
      standings.set(key, { key, adapter, standing: this.standing(key) });
    }
    return [...standings.values()];
  }

  #slots(): number {
    return this.parts.capacity.adapterSlots;
  }

  /** The places of the batch that this controller's requests may take. */
  protected places(): number {
    const { batchCapacity } = this.parts.capacity;
    const others = Math.min(this.others, OTHERS_SHARE * batchCapacity);
    return Math.max(1, Math.floor(batchCapacity - others));
  }
}
