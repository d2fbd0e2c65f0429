import type { Instant } from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";

/** Takes one step after the other while more is due, never two at once. */
export class StepLoop {
  readonly #clock: SteadyClock;
  readonly #step: () => Promise<boolean>;
  #timer: NodeJS.Timeout | undefined;
  #isRunning = false;
  #isDue = false;
  #isStopped = false;

  /**
   * @param clock Tells the time of waking.
   * @param step Takes a step; tells whether another one may follow at once.
   */
  constructor(clock: SteadyClock, step: () => Promise<boolean>) {
    this.#clock = clock;
    this.#step = step;
  }

  /** Whether no step is taken any more. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Takes the steps that are due. */
  async run(): Promise<void> {
    this.#isDue = true;
    if (this.#isRunning) return;
    this.#isRunning = true;
    try {
      while (this.#isDue && !this.#isStopped) {
        // What becomes due while the last step ends is seen by one more.
        this.#isDue = false;
        if (await this.#step()) this.#isDue = true;
      }
    } finally {
      this.#isRunning = false;
    }
  }

  /**
   * Runs again at a time, and at no earlier one that was set.
   * @param at The time.
   * @returns That no step follows at once.
   */
  wakeAt(at: Instant): false {
    clearTimeout(this.#timer);
    const delay = Math.max(1, at - this.#clock.now());
    this.#timer = setTimeout(() => void this.run(), delay);
    return false;
  }

  /** Takes no step after the present one. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }
}
