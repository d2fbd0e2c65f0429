import { elapsed, type EngineId, type Instant } from "../shared/mod.ts";
import type { OwnershipTiming } from "./timing.ts";

/** A gap between ticks of more ask intervals than this was our own pause. */
const PAUSE_INTERVALS = 2;

/** Measures, on one VM's clock, how long conditions of engines have lasted. */
export class SuccessionWatch {
  readonly #timing: OwnershipTiming;
  readonly #heardAt = new Map<EngineId, Instant>();
  readonly #since = new Map<string, Instant>();
  #lastTick: Instant;

  constructor(timing: OwnershipTiming, startedAt: Instant) {
    this.#timing = timing;
    this.#lastTick = startedAt;
  }

  /**
   * Forgives silence where this run itself was paused.
   * @param now The present time.
   */
  tick(now: Instant): void {
    const gap = elapsed(this.#lastTick, now);
    this.#lastTick = now;
    if (gap <= this.#timing.askInterval * PAUSE_INTERVALS) return;
    for (const engine of this.#heardAt.keys()) this.#heardAt.set(engine, now);
    this.#since.clear();
  }

  /**
   * Notes a sign of life of an engine's controller.
   * @param engine The engine.
   * @param now The present time.
   */
  heard(engine: EngineId, now: Instant): void {
    this.#heardAt.set(engine, now);
  }

  /**
   * Measures a controller's silence.
   * @param engine The engine.
   * @param now The present time.
   * @returns The time since the last sign of life.
   */
  silence(engine: EngineId, now: Instant): number {
    const heardAt = this.#heardAt.get(engine);
    if (heardAt !== undefined) return elapsed(heardAt, now);
    this.#heardAt.set(engine, now);
    return 0;
  }

  /**
   * Measures how long a condition has lasted; the clock starts with the first
   * call and ends with {@link ended}.
   * @param condition The condition's name.
   * @param now The present time.
   * @returns The time.
   */
  lasted(condition: string, now: Instant): number {
    const since = this.#since.get(condition);
    if (since !== undefined) return elapsed(since, now);
    this.#since.set(condition, now);
    return 0;
  }

  /**
   * Notes that a condition does not hold.
   * @param condition The condition's name.
   */
  ended(condition: string): void {
    this.#since.delete(condition);
  }
}
