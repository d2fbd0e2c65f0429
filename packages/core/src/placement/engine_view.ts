import type { AdapterKey, Duration, EngineId, Instant } from "../shared/mod.ts";

/** The loading state of an adapter at an engine. */
export type AdapterStanding = "resident" | "loading" | "awaited" | "absent";

/** A router's view of an engine, either exact or from a summary. */
export abstract class EngineView {
  /** The engine's id. */
  abstract readonly engine: EngineId;
  /** The hash of its id, for rendezvous hashing. */
  abstract readonly hash: number;
  /** Its rendezvous weight: its slots, adjusted by its measured speed. */
  abstract readonly weight: number;
  /** Measured time from dispatch to the first token. */
  abstract readonly firstTokenTime: Duration;
  /** Maximum number of requests in its batch. */
  abstract readonly batchCapacity: number;
  /** Measured time from dispatch to the end of an answer. */
  abstract readonly serviceTime: Duration;

  /**
   * Finds the standing of an adapter at the engine.
   * @param key The adapter.
   * @returns Its standing.
   */
  abstract standing(key: AdapterKey): AdapterStanding;

  /**
   * Estimates the wait until the batch can take a request.
   * @param now The present time.
   * @param target The target of the request's class.
   * @returns The wait.
   */
  abstract batchWait(now: Instant, target: Duration): Duration;

  /**
   * Checks whether a load could start, in a free slot or by evicting an idle
   * adapter.
   * @returns Whether it could.
   */
  abstract canMakeRoom(): boolean;

  /**
   * Estimates the cost of the eviction that a load would need.
   * @param now The present time.
   * @returns Waiting time per second, in multiples of the target; 0 if a slot
   * is free, undefined if not known.
   */
  abstract evictionCost(now: Instant): number | undefined;

  /**
   * Counts the adapters awaited by requests that are at least as urgent.
   * @param target The target of the request's class.
   * @returns The number of loads that come first.
   */
  abstract loadsAhead(target: Duration): number;
}
