import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { EngineSuspects } from "../crashes/mod.ts";
import type { EngineWatch } from "./engine_watch.ts";

/** Between two questions to an engine that may have ended, in milliseconds. */
const PAUSE_MILLISECONDS = 50;

/** What a look at an engine works with. */
export interface EngineLookParts {
  readonly clock: SteadyClock;
  readonly watch: EngineWatch;
  readonly suspects: EngineSuspects;
}

/** Asks an engine whether it still runs, one question after the other. */
export class EngineLook {
  readonly #parts: EngineLookParts;
  #isLooking = false;
  #isDue = false;

  /** @param parts What it works with. */
  constructor(parts: EngineLookParts) {
    this.#parts = parts;
  }

  /** Asks until it is known whether the engine ended with broken streams. */
  async look(): Promise<void> {
    this.#isDue = true;
    if (this.#isLooking) return;
    this.#isLooking = true;
    while (this.#isDue) {
      this.#isDue = false;
      await this.#ask();
      if (!this.#isUnknown()) continue;
      this.#isDue = true;
      await sleep(PAUSE_MILLISECONDS);
    }
    this.#isLooking = false;
  }

  #isUnknown(): boolean {
    const { clock, watch, suspects } = this.#parts;
    return !watch.isStopped() && suspects.arePending(clock.now());
  }

  async #ask(): Promise<void> {
    const { clock, watch, suspects } = this.#parts;
    const askedAt = clock.now();
    if (await watch.readState()) suspects.lives(askedAt);
  }
}
