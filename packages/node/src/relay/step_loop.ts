import type { Instant } from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";

/** Runs an asynchronous step while it is due, never two at the same time. */
export class StepLoop {
  readonly #clock: SteadyClock;
  readonly #step: () => Promise<boolean>;
  #timer: NodeJS.Timeout | undefined;
  #isRunning = false;
  #isDue = false;
  #isStopped = false;

  /**
   * @param clock The clock of the wake-up times.
   * @param step Runs one step; returns whether another one may follow at once.
   */
  constructor(clock: SteadyClock, step: () => Promise<boolean>) {
    this.#clock = clock;
    this.#step = step;
  }

  /** Whether the loop has been stopped. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Runs the steps that are due. */
  async run(): Promise<void> {
    this.#isDue = true;
    if (this.#isRunning) return;
    this.#isRunning = true;
    try {
      while (this.#isDue && !this.#isStopped) {
        // Work that becomes due during the last step gets another step.
        this.#isDue = false;
        if (await this.#step()) this.#isDue = true;
      }
    } finally {
      this.#isRunning = false;
    }
  }

  /**
   * Schedules the next run, in place of any run scheduled before.
   * @param at The time of the run.
   * @returns `false`: no step follows at once.
   */
  wakeAt(at: Instant): false {
    clearTimeout(this.#timer);
    const delay = Math.max(1, at - this.#clock.now());
    this.#timer = setTimeout(() => void this.run(), delay);
    return false;
  }

  /** Stops the loop after the current step. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }
}
