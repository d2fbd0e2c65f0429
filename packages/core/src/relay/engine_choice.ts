import type {
  AdapterId,
  BackendServerId,
  Duration,
  ModelId,
} from "../shared/mod.ts";
import { rendezvousOrder } from "../shared/mod.ts";

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
}

/** A request to be placed on an engine. */
export interface PlacementRequest {
  readonly model: ModelId;
  readonly adapter?: AdapterId;
  readonly promptTokens: number;
}

/** Expected time to load an adapter from the store. */
const LOAD_MILLISECONDS = 300;
/** Average remaining time of a load that is already in progress. */
const REMAINING_LOAD_MILLISECONDS = 120;
/**
 * Penalty in milliseconds, beyond the load time, for each rank of a load on an
 * engine other than the adapter's first preference. Engines keep adapters that
 * they held before, so repeated loads on the same engine come from its memory
 * and not from the store.
 */
const OFF_PREFERENCE_LOAD_PENALTY = 200;
/**
 * Penalty in milliseconds per rank in an adapter's preference order; breaks
 * ties.
 */
const RANK_PENALTY = 4;
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
  const key = `${placement.model}/${placement.adapter}`;
  const preference = rendezvousOrder(key, engines.map((engine) => engine.id));
  const costs = new Map<BackendServerId, number>();
  for (const engine of engines) {
    const rank = preference.indexOf(engine.id);
    const cost = placementCost(
      engine,
      timeToFirstToken(engine, placement),
      rank,
    );
    if (cost !== undefined) costs.set(engine.id, cost);
  }
  return [...costs.keys()].toSorted((left, right) =>
    (costs.get(left) ?? 0) - (costs.get(right) ?? 0)
  );
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
  if (engine.holdsAdapter) return base;
  if (!engine.canOrderLoads) return undefined;
  if (engine.isLoading) return base + REMAINING_LOAD_MILLISECONDS;
  const offPreferencePenalty = Math.min(rank, 3) * OFF_PREFERENCE_LOAD_PENALTY;
  const fullPenalty = engine.availableSlots > 0 ? 0 : FULL_ENGINE_PENALTY;
  return base + LOAD_MILLISECONDS + offPreferencePenalty + fullPenalty;
}
