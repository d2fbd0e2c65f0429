import { setImmediate } from "node:timers/promises";

interface Event {
  readonly at: number;
  readonly act: () => void;
}

/** Runs actions in virtual time. */
export class EventQueue {
  #now = 0;
  /** The next event last. */
  readonly #events: Event[] = [];

  /** The present time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /**
   * Adds an action.
   * @param delay The time until then, in milliseconds.
   * @param act The action.
   */
  add(delay: number, act: () => void): void {
    const at = this.#now + Math.max(0, delay);
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#events[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    this.#events.splice(low, 0, { at, act });
  }

  /**
   * Waits in virtual time.
   * @param delay The time in milliseconds.
   */
  async sleep(delay: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.add(delay, resolve);
    });
  }

  /** Runs all actions in the order of their times. */
  async run(): Promise<void> {
    for (;;) {
      const event = this.#events.pop();
      if (event === undefined) return;
      this.#now = event.at;
      event.act();
      await setImmediate();
    }
  }
}
