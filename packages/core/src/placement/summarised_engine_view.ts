import { TARGET_RATIO, type TargetLoad } from "../dispatch/class_counts.ts";
import type { AdapterKey, Duration, EngineId, Instant } from "../shared/mod.ts";
import type { EngineSummary, StandingAdapter } from "./engine_summary.ts";
import { type AdapterStanding, EngineView } from "./engine_view.ts";
import { placeWait } from "./batch_wait.ts";
import type { ResidenceIndex } from "./residence_index.ts";
import { textHash } from "./weighted_rendezvous.ts";

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
    this.hash = textHash(summary.engine);
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

  override placeWait(_now: Instant, target: Duration): Duration {
    const { places, running, serviceTime } = this.#summary;
    const preemptibleFrom = TARGET_RATIO * target;
    return placeWait({
      places,
      running,
      serviceTime,
      yielding: sumCounts(
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

  override roomLoss(): undefined {
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
  update(summary: EngineSummary, changes: readonly StandingAdapter[]): void {
    this.#summary = summary;
    this.#sentSinceSummary = 0;
    for (const { key, standing } of changes) this.#setStanding(key, standing);
  }

  /**
   * Records that this node sends a request to the engine.
   * @param key The request's adapter.
   */
  sent(key: AdapterKey): void {
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
  loads: readonly TargetLoad[],
  isCounted: (load: TargetLoad) => boolean,
): number {
  let total = 0;
  for (const load of loads) if (isCounted(load)) total += load.count;
  return total;
}
