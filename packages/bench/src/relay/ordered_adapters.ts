import type { AdapterId, ModelId, ServerStart } from "@foxtailwind/core";
import type {
  EngineOrder,
  EngineReport,
  OrderResult,
} from "@foxtailwind/node/relay";

/** The adapters of a stand-in of an engine, which count and fence orders. */
export class OrderedAdapters {
  readonly slots: number;
  readonly held = new Set<AdapterId>();
  /** Adapters that runs use, which can't leave. */
  readonly inUse = new Set<AdapterId>();
  models: readonly ModelId[] = [];
  /** The start that it reports, if any. */
  start: ServerStart | undefined;
  count = 0;
  highestFence = 0;
  /** Whether it was ever ordered to hold more than fits. */
  isOverfull = false;

  /** @param slots How many adapters fit. */
  constructor(slots: number) {
    this.slots = slots;
  }

  /**
   * Takes an order.
   * @param order The order.
   * @returns What came of it.
   */
  carryOut(order: EngineOrder): OrderResult {
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

  /**
   * Starts again: nothing is held, and counts and fences begin anew.
   * @param start The new start.
   */
  restart(start: ServerStart): void {
    this.start = start;
    this.models = [];
    this.held.clear();
    this.inUse.clear();
    this.count = 0;
    this.highestFence = 0;
  }

  /** What the engine says of itself. */
  get report(): EngineReport {
    const model = this.models[0];
    return {
      ...(this.start === undefined ? {} : { start: this.start }),
      models: this.models,
      adapters: model === undefined
        ? []
        : [...this.held].map((adapter) => ({ model, adapter, version: 1 })),
      incoming: [],
      isBusy: false,
      orderCount: this.count,
    };
  }

  #unload(adapter: AdapterId): OrderResult {
    if (this.inUse.has(adapter)) return { kind: "conflict" };
    this.held.delete(adapter);
    this.count += 1;
    return { kind: "holds" };
  }
}
