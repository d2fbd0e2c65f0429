import type {
  AdapterId,
  BackendServerId,
  Duration,
  ModelId,
} from "../shared/mod.ts";
import { rendezvousOrder } from "../shared/mod.ts";

/** What a node knows of an engine when it places a request. */
export interface EngineState {
  readonly id: BackendServerId;
  /** Expected wait before a new request's first token, in milliseconds. */
  readonly wait: number;
  /** How long it reads the prompt. */
  readonly reading: Duration;
  /** How many requests run there. */
  readonly running: number;
  /** Whether its owner can be asked for an adapter. */
  readonly isOrderable: boolean;
  /** How many adapters more could come without a running request in the way. */
  readonly room: number;
  readonly holds: boolean;
  readonly isLoading: boolean;
}

/** A request to be placed. */
export interface Placement {
  readonly model: ModelId;
  readonly adapter?: AdapterId;
  readonly promptTokens: number;
}

/** Expected time to bring an adapter from the store, in milliseconds. */
const LOAD_COST = 300;
/** What is left of it, on average, for an adapter already on its way. */
const LOADING_COST = 120;
/**
 * What a load at another engine than the adapter's first costs beside its
 * time: the engines keep what they held, so that loads at the same engine
 * come from its own memory and not from the store.
 */
const STRAY_COST = 200;
/** How much each place further down an adapter's order costs, for ties. */
const ORDER_COST = 4;
/**
 * Each running request delays the reading of a prompt by so many milliseconds
 * a token: engines read prompts in pieces between the tokens of what runs.
 * 9,200 tokens take 480 ms by the users' sheets, and took 800 ms in the median
 * of a played day; that 30 requests ran beside them is an assumption.
 */
const READING_DELAY = 0.001_1;
/** What a full engine costs: a slot has to come free first. */
const NO_ROOM_COST = 1_500;

/**
 * Orders engines for a request by expected time to its first token and the
 * cost of loads.
 * @param placement What is to run.
 * @param engines The engines that could run it.
 * @returns The engines, the best first. Without engines that hold the
 * adapter or can be ordered, it is empty.
 */
export function orderEngines(
  placement: Placement,
  engines: readonly EngineState[],
): readonly BackendServerId[] {
  if (placement.adapter === undefined) {
    const wait = (engine: EngineState) => waitAt(engine, placement);
    return engines.toSorted((left, right) => wait(left) - wait(right))
      .map((engine) => engine.id);
  }
  const key = `${placement.model}/${placement.adapter}`;
  const order = rendezvousOrder(key, engines.map((engine) => engine.id));
  const costs = new Map<BackendServerId, number>();
  for (const engine of engines) {
    const rank = order.indexOf(engine.id);
    const cost = placementCost(engine, waitAt(engine, placement), rank);
    if (cost !== undefined) costs.set(engine.id, cost);
  }
  return [...costs.keys()].toSorted((left, right) =>
    (costs.get(left) ?? 0) - (costs.get(right) ?? 0)
  );
}

/** Estimates the time to the first token where the adapter is there. */
function waitAt(engine: EngineState, { promptTokens }: Placement): number {
  return engine.wait + engine.reading +
    READING_DELAY * promptTokens * engine.running;
}

function placementCost(
  engine: EngineState,
  wait: number,
  rank: number,
): number | undefined {
  const base = wait + rank * ORDER_COST;
  if (engine.holds) return base;
  if (!engine.isOrderable) return undefined;
  if (engine.isLoading) return base + LOADING_COST;
  const stray = Math.min(rank, 3) * STRAY_COST;
  const full = engine.room > 0 ? 0 : NO_ROOM_COST;
  return base + LOAD_COST + stray + full;
}
