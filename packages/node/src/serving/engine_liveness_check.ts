import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { EngineSuspects } from "../crashes/mod.ts";
import type { EnginePoller } from "./engine_poller.ts";

/** The interval of probes to an engine that may have ended. */
const PROBE_INTERVAL_MILLISECONDS = 50;

/** The dependencies of an {@link EngineLivenessCheck}. */
export interface EngineLivenessCheckParts {
  readonly clock: SteadyClock;
  readonly poller: EnginePoller;
  readonly suspects: EngineSuspects;
}

/** Probes whether an engine still runs, one request at a time. */
export class EngineLivenessCheck {
  readonly #parts: EngineLivenessCheckParts;
  #isRunning = false;
  #isRequested = false;

  /** @param parts The dependencies. */
  constructor(parts: EngineLivenessCheckParts) {
    this.#parts = parts;
  }

  /** Probes until it is known whether the engine ended when streams broke. */
  async run(): Promise<void> {
    this.#isRequested = true;
    if (this.#isRunning) return;
    this.#isRunning = true;
    while (this.#isRequested) {
      this.#isRequested = false;
      await this.#probe();
      if (!this.#isUndetermined()) continue;
      this.#isRequested = true;
      await sleep(PROBE_INTERVAL_MILLISECONDS);
    }
    this.#isRunning = false;
  }

  #isUndetermined(): boolean {
    const { clock, poller, suspects } = this.#parts;
    return !poller.isStopped() && suspects.hasPending(clock.now());
  }

  async #probe(): Promise<void> {
    const { clock, poller, suspects } = this.#parts;
    const probedAt = clock.now();
    if (await poller.readState()) suspects.recordAlive(probedAt);
  }
}
