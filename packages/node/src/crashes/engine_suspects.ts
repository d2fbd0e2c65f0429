import {
  type Duration,
  elapsed,
  type EngineId,
  engineRun,
  type Instant,
  milliseconds,
  type Suspect,
  suspectRunTime,
} from "@foxtailwind/core";
import type { CrashMemory } from "./crash_memory.ts";

/**
 * The maximum time between a broken stream and the detection of the engine's
 * end. If more time passes, the engine did not end with that stream.
 */
const MAXIMUM_DETECTION_DELAY = milliseconds(10_000);

interface BrokenStream {
  readonly brokeAt: Instant;
  readonly suspects: readonly Suspect[];
  readonly runTime: Duration;
}

/**
 * Tracks requests whose streams from one run of an engine broke off. They
 * become suspects only if that run turns out to have ended.
 */
export class EngineSuspects {
  readonly #engine: EngineId;
  readonly #memory: CrashMemory;
  #broken: readonly BrokenStream[] = [];

  /**
   * @param engine The engine.
   * @param memory Records the suspicions.
   */
  constructor(engine: EngineId, memory: CrashMemory) {
    this.#engine = engine;
    this.#memory = memory;
  }

  /**
   * Records a stream that broke off.
   * @param now The present time.
   * @param suspects What of the request may have ended the engine.
   * @param ranFor The time since its first token, if there was one.
   */
  recordBrokenStream(
    now: Instant,
    suspects: readonly Suspect[],
    ranFor: Duration | undefined,
  ): void {
    const runTime = suspectRunTime(ranFor);
    if (runTime === undefined) return;
    this.#broken = [...this.#broken, {
      brokeAt: now,
      suspects,
      runTime,
    }];
  }

  /**
   * Returns whether the state of the engine needs to be checked.
   * @param now The present time.
   * @returns Whether it is unknown for some broken stream if the engine still
   * runs.
   */
  hasPending(now: Instant): boolean {
    return this.#broken.some((one) =>
      elapsed(one.brokeAt, now) <= MAXIMUM_DETECTION_DELAY
    );
  }

  /**
   * Records that the engine still runs.
   * @param askedAt When it was asked; streams that broke later stay pending.
   */
  recordAlive(askedAt: Instant): void {
    this.#broken = this.#broken.filter(({ brokeAt }) => brokeAt > askedAt);
  }

  /**
   * Records that the engine's run has ended.
   * @param now The present time.
   * @param bootId The boot id of the run.
   */
  recordRunEnd(now: Instant, bootId: string): void {
    const server = engineRun(this.#engine, bootId);
    for (const { brokeAt, suspects, runTime } of this.#broken) {
      if (elapsed(brokeAt, now) > MAXIMUM_DETECTION_DELAY) continue;
      for (const suspect of suspects) {
        this.#memory.recordSuspicion({ ...suspect, server, ranFor: runTime });
      }
    }
    this.#broken = [];
  }
}
