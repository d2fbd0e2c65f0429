import type { AdapterKey, Duration, EngineId, Instant } from "../shared/mod.ts";

/** How an adapter stands at an engine. */
export type AdapterStanding = "resident" | "loading" | "awaited" | "absent";

/** What a router knows of an engine: exactly, or from a summary. */
export abstract class EngineView {
  /** The engine. */
  abstract readonly engine: EngineId;
  /** The hash of its id, for rendezvous. */
  abstract readonly hash: number;
  /** Its measured share of homes: slots, raised or lowered by its pace. */
  abstract readonly weight: number;
  /** From dispatch to the first token, as measured. */
  abstract readonly firstTokenTime: Duration;
  /** The size of its batch. */
  abstract readonly batchCapacity: number;
  /** From dispatch to the end of an answer, as measured. */
  abstract readonly serviceTime: Duration;

  /**
   * Tells how an adapter stands there.
   * @param key The adapter.
   * @returns Its standing.
   */
  abstract standing(key: AdapterKey): AdapterStanding;

  /**
   * Estimates the wait for a place in the batch.
   * @param now The present time.
   * @param target The target of the request's class.
   * @returns The wait.
   */
  abstract placeWait(now: Instant, target: Duration): Duration;

  /**
   * Tells whether a load could start, by a free slot or an idle adapter.
   * @returns Whether there is room.
   */
  abstract canMakeRoom(): boolean;

  /**
   * Estimates what is lost by the eviction that a load would need.
   * @param now The present time.
   * @returns Target lengths of waiting a second, 0 where a slot is free, or
   * nothing where it is not known.
   */
  abstract roomLoss(now: Instant): number | undefined;

  /**
   * Counts the adapters that are waited for by requests at least as urgent.
   * @param target The target of the request's class.
   * @returns How many loads come first.
   */
  abstract loadsAhead(target: Duration): number;
}
