import {
  type ContentDigest,
  type Duration,
  elapsed,
  type EngineId,
  engineRun,
  type Instant,
  milliseconds,
  suspectRunTime,
} from "@foxtailwind/core";
import type { CrashMemory } from "./crash_memory.ts";

/** An engine whose end is noticed later than this did not end with a stream. */
const MAXIMUM_DETECTION_DELAY = milliseconds(10_000);

interface BrokenStream {
  readonly brokeAt: Instant;
  readonly content: ContentDigest;
  readonly runTime: Duration;
}

/**
 * The requests whose streams from one run of an engine broke off: suspects,
 * once it turns out that the run has ended, and else nothing.
 */
export class EngineSuspects {
  readonly #engine: EngineId;
  readonly #memory: CrashMemory;
  #broken: readonly BrokenStream[] = [];

  /**
   * @param engine The engine.
   * @param memory Takes the suspicions.
   */
  constructor(engine: EngineId, memory: CrashMemory) {
    this.#engine = engine;
    this.#memory = memory;
  }

  /**
   * Takes note of a stream that broke off.
   * @param now The present time.
   * @param content What was asked for.
   * @param ranFor From its first token on, where one came.
   */
  broke(
    now: Instant,
    content: ContentDigest,
    ranFor: Duration | undefined,
  ): void {
    const weight = suspectRunTime(ranFor);
    if (weight === undefined) return;
    this.#broken = [...this.#broken, {
      brokeAt: now,
      content,
      runTime: weight,
    }];
  }

  /**
   * Tells whether it matters if the engine still runs.
   * @param now The present time.
   * @returns Whether streams broke off of which that is not known.
   */
  arePending(now: Instant): boolean {
    return this.#broken.some((one) =>
      elapsed(one.brokeAt, now) <= MAXIMUM_DETECTION_DELAY
    );
  }

  /**
   * Takes note that the engine still runs.
   * @param askedAt When it was asked: streams that broke later stay suspect.
   */
  lives(askedAt: Instant): void {
    this.#broken = this.#broken.filter(({ brokeAt }) => brokeAt > askedAt);
  }

  /**
   * Takes note that the engine's run has ended.
   * @param now The present time.
   * @param bootId The run.
   */
  ended(now: Instant, bootId: string): void {
    const server = engineRun(this.#engine, bootId);
    for (const { brokeAt, content, runTime: weight } of this.#broken) {
      if (elapsed(brokeAt, now) > MAXIMUM_DETECTION_DELAY) continue;
      this.#memory.suspect({ server, content, ranFor: weight });
    }
    this.#broken = [];
  }
}
