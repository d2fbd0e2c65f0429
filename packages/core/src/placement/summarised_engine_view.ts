import {
  PREEMPTION_TARGET_RATIO,
  type TargetCount,
} from "../dispatch/class_counts.ts";
import type { AdapterKey, Duration, EngineId, Instant } from "../shared/mod.ts";
import type { AdapterWithStanding, EngineSummary } from "./engine_summary.ts";
import { type AdapterStanding, EngineView } from "./engine_view.ts";
import { expectedBatchWait } from "./batch_wait.ts";
import type { ResidenceIndex } from "./residence_index.ts";
import { hashText } from "./weighted_rendezvous.ts";

/**
 * A view of an engine that another node controls, based on its last summary. It
 * adds the requests that this node has sent to the engine since then.
 */
export class SummarisedEngineView extends EngineView {
  override readonly engine: EngineId;
  override readonly hash: number;
  readonly #index: ResidenceIndex;
  readonly #standings = new Map<AdapterKey, AdapterStanding>();
  #summary: EngineSummary;
  #sentSinceSummary = 0;

  /**
   * @param summary The first summary.
   * @param index The index to update with the engine's adapters.
   */
  constructor(summary: EngineSummary, index: ResidenceIndex) {
    super();
    this.engine = summary.engine;
    this.hash = hashText(summary.engine);
    this.#summary = summary;
    this.#index = index;
  }

  override get weight(): number {
    return this.#summary.weight;
  }

  override get firstTokenTime(): Duration {
    return this.#summary.firstTokenTime;
  }

  override get serviceTime(): Duration {
    return this.#summary.serviceTime;
  }

  override get batchCapacity(): number {
    return this.#summary.batchCapacity;
  }

  override standing(key: AdapterKey): AdapterStanding {
    return this.#standings.get(key) ?? "absent";
  }

  override batchWait(_now: Instant, target: Duration): Duration {
    const { places, running, serviceTime } = this.#summary;
    const preemptibleFrom = PREEMPTION_TARGET_RATIO * target;
    return expectedBatchWait({
      places,
      running,
      serviceTime,
      preemptible: sumCounts(
        this.#summary.runningByTarget,
        (load) => load.target >= preemptibleFrom,
      ),
      ahead: this.#sentSinceSummary +
        sumCounts(this.#summary.ready, (load) => load.target <= target),
    });
  }

  override canMakeRoom(): boolean {
    return this.#summary.canMakeRoom;
  }

  override evictionCost(): undefined {
    return undefined;
  }

  override loadsAhead(target: Duration): number {
    return Math.min(
      this.#summary.awaitedAdapters,
      sumCounts(this.#summary.blocked, (load) => load.target <= target),
    );
  }

  /**
   * Applies a newer summary.
   * @param summary The summary.
   * @param changes The adapters whose standing changed since the last one.
   */
  update(
    summary: EngineSummary,
    changes: readonly AdapterWithStanding[],
  ): void {
    this.#summary = summary;
    this.#sentSinceSummary = 0;
    for (const { key, standing } of changes) this.#setStanding(key, standing);
  }

  /**
   * Records that this node sends a request to the engine.
   * @param key The request's adapter.
   */
  recordSent(key: AdapterKey): void {
    this.#sentSinceSummary += 1;
    if (this.standing(key) === "absent") this.#setStanding(key, "awaited");
  }

  /** Removes all adapters of the engine from the index. */
  clear(): void {
    for (const key of this.#standings.keys()) {
      this.#index.remove(key, this.engine);
    }
    this.#standings.clear();
  }

  #setStanding(key: AdapterKey, standing: AdapterStanding): void {
    if (standing === "absent") {
      this.#standings.delete(key);
      this.#index.remove(key, this.engine);
      return;
    }
    this.#standings.set(key, standing);
    this.#index.add(key, this.engine);
  }
}

function sumCounts(
  loads: readonly TargetCount[],
  isCounted: (load: TargetCount) => boolean,
): number {
  let total = 0;
  for (const load of loads) if (isCounted(load)) total += load.count;
  return total;
}
