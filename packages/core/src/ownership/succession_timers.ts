import { elapsed, type EngineId, type Instant } from "../shared/mod.ts";
import type { OwnershipTiming } from "./timing.ts";

/** A longer gap between ticks means that this process itself was paused. */
const MAXIMUM_TICK_GAP_INTERVALS = 2;

/**
 * Measures controller silence and the duration of conditions, both by the
 * clock of this VM.
 */
export class SuccessionTimers {
  readonly #timing: OwnershipTiming;
  readonly #lastHeardAt = new Map<EngineId, Instant>();
  readonly #conditionStarts = new Map<string, Instant>();
  #lastTick: Instant;

  constructor(timing: OwnershipTiming, startedAt: Instant) {
    this.#timing = timing;
    this.#lastTick = startedAt;
  }

  /**
   * Resets all timers if this run itself was paused.
   * @param now The present time.
   */
  tick(now: Instant): void {
    const gap = elapsed(this.#lastTick, now);
    this.#lastTick = now;
    if (
      gap <= this.#timing.promiseRequestInterval * MAXIMUM_TICK_GAP_INTERVALS
    ) return;
    for (const engine of this.#lastHeardAt.keys()) {
      this.#lastHeardAt.set(engine, now);
    }
    this.#conditionStarts.clear();
  }

  /**
   * Records a sign of life from an engine's controller.
   * @param engine The engine.
   * @param now The present time.
   */
  controllerHeard(engine: EngineId, now: Instant): void {
    this.#lastHeardAt.set(engine, now);
  }

  /**
   * Measures how long an engine's controller has been silent. The first call
   * for an engine starts the timer.
   * @param engine The engine.
   * @param now The present time.
   * @returns The time since the last sign of life.
   */
  silenceDuration(engine: EngineId, now: Instant): number {
    const heardAt = this.#lastHeardAt.get(engine);
    if (heardAt !== undefined) return elapsed(heardAt, now);
    this.#lastHeardAt.set(engine, now);
    return 0;
  }

  /**
   * Measures how long a condition has lasted. The first call starts the timer;
   * it stops with {@link clearCondition}.
   * @param condition The condition's name.
   * @param now The present time.
   * @returns The elapsed time.
   */
  conditionDuration(condition: string, now: Instant): number {
    const startedAt = this.#conditionStarts.get(condition);
    if (startedAt !== undefined) return elapsed(startedAt, now);
    this.#conditionStarts.set(condition, now);
    return 0;
  }

  /**
   * Stops the timer of a condition that no longer holds.
   * @param condition The condition's name.
   */
  clearCondition(condition: string): void {
    this.#conditionStarts.delete(condition);
  }
}
