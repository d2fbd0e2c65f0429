import {
  type BackendServerId,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/**
 * An engine that had no room is not asked for a further adapter for so long:
 * of a dozen slots whose requests run for two seconds, one comes free in about
 * 150 ms.
 */
const REMEMBERED = milliseconds(100);

/**
 * The engines that have just had no room for a further adapter. Answers a load
 * that fills the slots of all engines: every request that waits would else ask
 * the same full engines over and over, and the questions of a few hundred cost
 * their owners more than what is served.
 */
export class RefusalMemory {
  readonly #refusedAt = new Map<BackendServerId, Instant>();

  /**
   * Takes note that an engine had no room.
   * @param now The present time.
   * @param engine The engine.
   */
  refused(now: Instant, engine: BackendServerId): void {
    this.#refusedAt.set(engine, now);
  }

  /**
   * Tells whether an engine most likely has no room still.
   * @param now The present time.
   * @param engine The engine.
   * @returns Whether it was full a moment ago.
   */
  isLikelyFull(now: Instant, engine: BackendServerId): boolean {
    const refusedAt = this.#refusedAt.get(engine);
    if (refusedAt === undefined) return false;
    if (elapsed(refusedAt, now) < REMEMBERED) return true;
    this.#refusedAt.delete(engine);
    return false;
  }
}
