import type {
  AdapterId,
  BackendServerId,
  Duration,
  ModelId,
} from "../shared/mod.ts";
import { AdapterPreference } from "./residency/adapter_preference.ts";
import type { LoadSource } from "./residency/learned_load_times.ts";

/** An engine's state as known to the node that places a request. */
export interface EngineState {
  readonly id: BackendServerId;
  /** Expected wait before a new request's first token, in milliseconds. */
  readonly expectedWait: number;
  /** Estimated time to prefill the prompt. */
  readonly prefillTime: Duration;
  /** The number of requests running on the engine. */
  readonly running: number;
  /** Whether the engine's owner can be asked to load an adapter. */
  readonly canOrderLoads: boolean;
  /**
   * The number of further adapters that could be loaded without waiting for a
   * running request.
   */
  readonly availableSlots: number;
  readonly holdsAdapter: boolean;
  readonly isLoading: boolean;
  /** The load of an absent adapter, if it is known what the engine caches. */
  readonly load?: ExpectedLoad;
  /**
   * A random number in [0, 1) for each choice: nodes that decide from equally
   * old states then spread their requests over engines that are nearly equal.
   */
  readonly draw?: number;
}

/** An adapter's load as expected on one engine. */
export interface ExpectedLoad {
  readonly source: LoadSource;
  readonly time: Duration;
}

/** A request to be placed on an engine. */
export interface PlacementRequest {
  readonly model: ModelId;
  readonly adapter?: AdapterId;
  readonly promptTokens: number;
}

/** Expected time to load an adapter if nothing is known of the engine. */
const LOAD_MILLISECONDS = 300;
/**
 * The part of a load's time, as expected, that goes to its order, the check
 * that it is done, and the order to unload another adapter.
 */
const LOAD_OVERHEAD_MILLISECONDS = 20;
/** Average remaining share of a load that is already in progress. */
const REMAINING_LOAD_SHARE = 0.4;
/**
 * Penalty in milliseconds for each rank of a load from the store on an engine
 * other than the adapter's first preference. Requests at several nodes at once
 * then join one load.
 */
const OFF_PREFERENCE_STORE_PENALTY = 60;
/**
 * The same if it isn't known what the engine caches. Engines keep adapters that
 * they held before, so repeated loads on the same engine come from its memory
 * and not from the store.
 */
const OFF_PREFERENCE_LOAD_PENALTY = 200;
/**
 * Penalty in milliseconds per rank in an adapter's preference order; breaks
 * ties.
 */
const RANK_PENALTY = 4;
/** Range in milliseconds over which equal holders are chosen at random. */
const SPREAD_MILLISECONDS = 20;
/**
 * Milliseconds by which each running request delays the prefill of each prompt
 * token: engines prefill prompts in chunks between the tokens of running
 * requests. According to the users' specifications 9,200 tokens take 480 ms;
 * the median on a test day was 800 ms. The value assumes that 30 requests ran
 * beside them.
 */
const PREFILL_DELAY_PER_TOKEN = 0.001_1;
/**
 * Penalty in milliseconds for a full engine: a slot has to become free first.
 */
const FULL_ENGINE_PENALTY = 1_500;

/**
 * Ranks engines for a request by expected time to first token and the cost of
 * loads.
 * @param placement The request to place.
 * @param engines The engines that could run it.
 * @returns The engine ids, best first. Empty if no engine holds the adapter or
 * can be ordered to load it.
 */
export function rankEngines(
  placement: PlacementRequest,
  engines: readonly EngineState[],
): readonly BackendServerId[] {
  if (placement.adapter === undefined) {
    const firstTokenTime = (engine: EngineState) =>
      timeToFirstToken(engine, placement);
    return engines.toSorted((left, right) =>
      firstTokenTime(left) - firstTokenTime(right)
    )
      .map((engine) => engine.id);
  }
  const preference = new AdapterPreference(
    `${placement.model}/${placement.adapter}`,
    engines,
  );
  const costs: { readonly id: BackendServerId; readonly cost: number }[] = [];
  for (const engine of engines) {
    const cost = placementCost(
      engine,
      timeToFirstToken(engine, placement),
      preference.rankOf(engine.id),
    );
    if (cost !== undefined) costs.push({ id: engine.id, cost });
  }
  return costs.sort((left, right) => left.cost - right.cost)
    .map((engine) => engine.id);
}

/** Estimates the time to first token if the adapter is resident. */
function timeToFirstToken(
  engine: EngineState,
  { promptTokens }: PlacementRequest,
): number {
  return engine.expectedWait + engine.prefillTime +
    PREFILL_DELAY_PER_TOKEN * promptTokens * engine.running;
}

function placementCost(
  engine: EngineState,
  firstTokenTime: number,
  rank: number,
): number | undefined {
  const base = firstTokenTime + rank * RANK_PENALTY;
  if (engine.holdsAdapter) {
    return base + (engine.draw ?? 0) * SPREAD_MILLISECONDS;
  }
  if (!engine.canOrderLoads) return undefined;
  const loadTime = expectedLoadTime(engine.load);
  if (engine.isLoading) return base + REMAINING_LOAD_SHARE * loadTime;
  const fullPenalty = engine.availableSlots > 0 ? 0 : FULL_ENGINE_PENALTY;
  return base + loadTime + offPreferencePenalty(engine.load, rank) +
    fullPenalty;
}

/**
 * Estimates how long an absent adapter takes to be usable, orders included.
 * @param load Its load as expected on the engine, if anything is known.
 * @returns The time in milliseconds.
 */
export function expectedLoadTime(load: ExpectedLoad | undefined): number {
  return load === undefined
    ? LOAD_MILLISECONDS
    : load.time + LOAD_OVERHEAD_MILLISECONDS;
}

function offPreferencePenalty(
  load: ExpectedLoad | undefined,
  rank: number,
): number {
  if (load === undefined) return rank * OFF_PREFERENCE_LOAD_PENALTY;
  return load.source === "cache" ? 0 : rank * OFF_PREFERENCE_STORE_PENALTY;
}
