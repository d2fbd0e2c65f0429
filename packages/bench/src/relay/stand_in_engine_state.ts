import type { AdapterId, ModelId, ServerStart } from "@foxtailwind/core";
import type {
  EngineOrder,
  EngineReport,
  OrderResult,
} from "@foxtailwind/node/relay";

/** The version of adapters before operators set one. */
const INITIAL_VERSION = 1;

/** The adapter state of a stand-in engine, with order counts and fencing. */
export class StandInEngineState {
  /** The number of adapter slots. */
  readonly slots: number;
  /** The number of adapters that the memory holds. */
  readonly memoryAdapters: number;
  /** The loaded adapters. */
  readonly loadedAdapters = new Set<AdapterId>();
  /** Adapters used by running requests, which can't be unloaded. */
  readonly adaptersInUse = new Set<AdapterId>();
  models: readonly ModelId[] = [];
  /** The server start that reports name, if any. */
  start: ServerStart | undefined;
  /** The number of orders accepted since the start. */
  orderCount = 0;
  highestFence = 0;
  /** Whether an order ever loaded more adapters than there are slots. */
  hasExceededSlots = false;
  /** Whether an order ever loaded more adapters than the memory holds. */
  hasExceededMemory = false;
  /** Returns the version that an order loads that names none. */
  newestVersion: (adapter: AdapterId) => number = () => INITIAL_VERSION;
  readonly #versions = new Map<AdapterId, number>();

  /**
   * @param slots The number of adapter slots.
   * @param memoryAdapters The number of adapters that the memory holds.
   */
  constructor(slots: number, memoryAdapters = Infinity) {
    this.slots = slots;
    this.memoryAdapters = memoryAdapters;
  }

  /**
   * Executes an order, unless it is fenced or expects another order count.
   * @param order The order.
   * @returns The result.
   */
  execute(order: EngineOrder): OrderResult {
    if (order.fence < this.highestFence) return { kind: "fenced" };
    this.highestFence = order.fence;
    if (order.expectedOrders !== this.orderCount) return { kind: "conflict" };
    const { adapter, model } = order;
    if (adapter === undefined) {
      this.models = [model];
      this.orderCount += 1;
      return { kind: "accepted" };
    }
    if (order.kind === "unload") return this.#unload(adapter);
    return this.#load(adapter, order.version ?? this.newestVersion(adapter));
  }

  /**
   * Returns the version in which an adapter is loaded.
   * @param adapter The adapter.
   * @returns The version.
   */
  versionOf(adapter: AdapterId): number {
    return this.#versions.get(adapter) ?? INITIAL_VERSION;
  }

  /**
   * Restarts: unloads everything and resets the order count and the fence.
   * @param start The new start.
   */
  restart(start: ServerStart): void {
    this.start = start;
    this.models = [];
    this.loadedAdapters.clear();
    this.#versions.clear();
    this.adaptersInUse.clear();
    this.orderCount = 0;
    this.highestFence = 0;
  }

  /** The state that the engine reports. */
  get report(): EngineReport {
    const model = this.models[0];
    return {
      ...(this.start === undefined ? {} : { start: this.start }),
      models: this.models,
      adapters: model === undefined
        ? []
        : [...this.loadedAdapters].map((adapter) => ({
          model,
          adapter,
          version: this.versionOf(adapter),
        })),
      incoming: [],
      isBusy: false,
      orderCount: this.orderCount,
    };
  }

  /** Loads an adapter, or replaces an older version that no request uses. */
  #load(adapter: AdapterId, version: number): OrderResult {
    const isHeld = this.loadedAdapters.has(adapter);
    if (isHeld && this.versionOf(adapter) >= version) return { kind: "holds" };
    if (isHeld && this.adaptersInUse.has(adapter)) return { kind: "conflict" };
    this.loadedAdapters.add(adapter);
    this.#versions.set(adapter, version);
    this.orderCount += 1;
    const count = this.loadedAdapters.size;
    if (count > this.slots) this.hasExceededSlots = true;
    if (count > this.memoryAdapters) this.hasExceededMemory = true;
    return { kind: "accepted" };
  }

  #unload(adapter: AdapterId): OrderResult {
    if (this.adaptersInUse.has(adapter)) return { kind: "conflict" };
    this.loadedAdapters.delete(adapter);
    this.orderCount += 1;
    return { kind: "holds" };
  }
}
