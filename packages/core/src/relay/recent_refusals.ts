import {
  type BackendServerId,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/**
 * How long an engine without room is not asked for a further adapter: with a
 * dozen slots and requests of two seconds, a slot becomes free in about 150 ms.
 */
const REFUSAL_RETENTION = milliseconds(100);

/**
 * The engines that recently had no room for a further adapter. Handles load
 * that fills the slots of all engines: otherwise each waiting request would ask
 * the same full engines repeatedly, and the calls of a few hundred requests
 * cost their owners more than the requests that are served.
 */
export class RecentRefusals {
  readonly #refusedAt = new Map<BackendServerId, Instant>();

  /**
   * Records that an engine had no room.
   * @param now The present time.
   * @param engine The engine.
   */
  recordRefusal(now: Instant, engine: BackendServerId): void {
    this.#refusedAt.set(engine, now);
  }

  /**
   * Checks whether an engine most likely still has no room.
   * @param now The present time.
   * @param engine The engine.
   * @returns Whether it refused recently.
   */
  isLikelyFull(now: Instant, engine: BackendServerId): boolean {
    const refusedAt = this.#refusedAt.get(engine);
    if (refusedAt === undefined) return false;
    if (elapsed(refusedAt, now) < REFUSAL_RETENTION) return true;
    this.#refusedAt.delete(engine);
    return false;
  }
}
