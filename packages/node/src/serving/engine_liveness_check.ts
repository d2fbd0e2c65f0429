import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { EngineSuspects } from "../crashes/mod.ts";
import type { EnginePoller } from "./engine_poller.ts";

/** Between two questions to an engine that may have ended, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 50;

/** What a look at an engine works with. */
export interface EngineLivenessCheckParts {
  readonly clock: SteadyClock;
  readonly poller: EnginePoller;
  readonly suspects: EngineSuspects;
}

/** Asks an engine whether it still runs, one question after the other. */
export class EngineLivenessCheck {
  readonly #parts: EngineLivenessCheckParts;
  #isRunning = false;
  #isRequested = false;

  /** @param parts What it works with. */
  constructor(parts: EngineLivenessCheckParts) {
    this.#parts = parts;
  }

  /** Asks until it is known whether the engine ended with broken streams. */
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
    return !poller.isStopped() && suspects.arePending(clock.now());
  }

  async #probe(): Promise<void> {
    const { clock, poller, suspects } = this.#parts;
    const probedAt = clock.now();
    if (await poller.readState()) suspects.lives(probedAt);
  }
}
