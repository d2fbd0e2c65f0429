import { TARGET_RATIO, type TargetLoad } from "../dispatch/class_counts.ts";
import type { AdapterKey, Duration, EngineId, Instant } from "../shared/mod.ts";
import type { EngineSummary, StandingAdapter } from "./engine_summary.ts";
import { type AdapterStanding, EngineView } from "./engine_view.ts";
import { placeWait } from "./place_wait.ts";
import type { ResidenceIndex } from "./residence_index.ts";
import { textHash } from "./weighted_rendezvous.ts";

/**
 * An engine that another node controls, as its last summary shows it. The
 * requests that this node has sent there since are counted on top.
 */
export class SummarisedEngineView extends EngineView {
  override readonly engine: EngineId;
  override readonly hash: number;
  readonly #index: ResidenceIndex;
  readonly #standings = new Map<AdapterKey, AdapterStanding>();
  #summary: EngineSummary;
  #sentSince = 0;

  /**
   * @param summary The first summary.
   * @param index Learns which adapters the engine has.
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
    const longEnough = TARGET_RATIO * target;
    return placeWait({
      places,
      running,
      serviceTime,
      yielding: sum(
        this.#summary.runningByTarget,
        (load) => load.target >= longEnough,
      ),
      ahead: this.#sentSince +
        sum(this.#summary.ready, (load) => load.target <= target),
    });
  }

  override canMakeRoom(): boolean {
    return this.#summary.canMakeRoom;
  }

  override loadsAhead(target: Duration): number {
    return Math.min(
      this.#summary.awaitedAdapters,
      sum(this.#summary.blocked, (load) => load.target <= target),
    );
  }

  /**
   * Takes a newer summary in.
   * @param summary The summary.
   * @param changes The adapters whose standing changed since the last one.
   */
  update(summary: EngineSummary, changes: readonly StandingAdapter[]): void {
    this.#summary = summary;
    this.#sentSince = 0;
    for (const { key, standing } of changes) this.#stand(key, standing);
  }

  /**
   * Takes note that this node sends a request there.
   * @param key The request's adapter.
   */
  sent(key: AdapterKey): void {
    this.#sentSince += 1;
    if (this.standing(key) === "absent") this.#stand(key, "awaited");
  }

  /** Forgets all adapters. */
  clear(): void {
    for (const key of this.#standings.keys()) {
      this.#index.remove(key, this.engine);
    }
    this.#standings.clear();
  }

  #stand(key: AdapterKey, standing: AdapterStanding): void {
    if (standing === "absent") {
      this.#standings.delete(key);
      this.#index.remove(key, this.engine);
      return;
    }
    this.#standings.set(key, standing);
    this.#index.add(key, this.engine);
  }
}

function sum(
  loads: readonly TargetLoad[],
  isCounted: (load: TargetLoad) => boolean,
): number {
  let total = 0;
  for (const load of loads) if (isCounted(load)) total += load.count;
  return total;
}
