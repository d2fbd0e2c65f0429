import type {
  AdapterDemand,
  AdapterRouter,
  DemandTracker,
  EngineView,
  ResidenceIndex,
} from "../placement/mod.ts";
import type { AdapterKey, EngineId, Instant } from "../shared/mod.ts";
import type { AdapterValueEstimator } from "./adapter_value_estimator.ts";
import type { PrefetchCandidate } from "./load_planner.ts";

/** The maximum number of candidates per engine. */
const MAXIMUM_CANDIDATES = 8;
/**
 * An adapter needs another replica when its requests fill this share of its
 * holders' batches.
 */
const REPLICA_LOAD_THRESHOLD = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/** The dependencies of a prefetch planner. */
export interface PrefetchPlannerParts {
  readonly demand: DemandTracker;
  readonly index: ResidenceIndex;
  readonly router: AdapterRouter;
  readonly value: AdapterValueEstimator;
}

/**
 * Finds frequently used adapters that need more replicas, so that they are
 * loaded before requests wait. Only considers adapters that were requested
 * since the last update, so that the cost does not grow with the number of
 * adapters.
 */
export class PrefetchPlanner {
  readonly #parts: PrefetchPlannerParts;
  readonly #candidates = new Map<EngineId, PrefetchCandidate[]>();

  /** @param parts The dependencies of the planner. */
  constructor(parts: PrefetchPlannerParts) {
    this.#parts = parts;
  }

  /**
   * Considers the adapters that were requested since the last call.
   * @param now The present time.
   * @param views The engines.
   */
  update(now: Instant, views: ReadonlyMap<EngineId, EngineView>): void {
    this.#parts.demand.visitRecentlyRequested((key, demand) => {
      this.#consider(now, { key, demand, views });
    });
  }

  /**
   * Lists the candidates for an engine with their current worth.
   * @param now The present time.
   * @param engine The engine.
   * @returns The candidates.
   */
  candidates(now: Instant, engine: EngineId): readonly PrefetchCandidate[] {
    const existing = this.#candidates.get(engine);
    if (existing === undefined) return [];
    const current = existing.flatMap((candidate) => {
      const holders = this.#parts.index.enginesOf(candidate.key);
      if (holders.includes(engine)) return [];
      const worth = this.#parts.value.absenceCost(now, candidate.key);
      return [{ ...candidate, worth }];
    });
    this.#candidates.set(engine, current);
    return current;
  }

  #consider(
    now: Instant,
    { key, demand, views }: {
      readonly key: AdapterKey;
      readonly demand: AdapterDemand;
      readonly views: ReadonlyMap<EngineId, EngineView>;
    },
  ): void {
    const holders = this.#parts.index.enginesOf(key);
    if (!needsReplica(now, { demand, holders, views })) return;
    const home = this.#parts.router.homes(key, views)
      .find((view) => !holders.includes(view.engine));
    if (home === undefined) return;
    const worth = this.#parts.value.absenceCost(now, key);
    this.#addCandidate(home.engine, { key, adapter: demand.adapter, worth });
  }

  #addCandidate(engine: EngineId, candidate: PrefetchCandidate): void {
    const kept = this.#candidates.get(engine) ?? [];
    if (kept.some((other) => other.key === candidate.key)) return;
    kept.push(candidate);
    kept.sort((left, right) => right.worth - left.worth);
    if (kept.length > MAXIMUM_CANDIDATES) kept.pop();
    this.#candidates.set(engine, kept);
  }
}

/**
 * Compares the concurrent requests with the holders' batch capacity. By Little's
 * law, the concurrency is the arrival rate times the service time.
 */
function needsReplica(
  now: Instant,
  { demand, holders, views }: {
    readonly demand: AdapterDemand;
    readonly holders: readonly EngineId[];
    readonly views: ReadonlyMap<EngineId, EngineView>;
  },
): boolean {
  const rate = demand.arrivalRate(now);
  let totalBatchCapacity = 0;
  let serviceMilliseconds = 0;
  for (const holder of holders) {
    const view = views.get(holder);
    if (view === undefined) continue;
    totalBatchCapacity += view.batchCapacity;
    serviceMilliseconds = Math.max(serviceMilliseconds, view.serviceTime);
  }
  const concurrentRequests = rate * serviceMilliseconds /
    MILLISECONDS_PER_SECOND;
  return concurrentRequests > REPLICA_LOAD_THRESHOLD * totalBatchCapacity;
}
