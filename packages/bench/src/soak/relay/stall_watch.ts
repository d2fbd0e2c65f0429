/** Between two looks, in milliseconds. */
const LOOK_MILLISECONDS = 25;

/**
 * Measures for how long this process did nothing: nodes, servers and callers
 * share its one thread, and what a busy machine takes from it is no fault.
 */
export class StallWatch {
  readonly #stalls: { readonly from: number; readonly to: number }[] = [];
  readonly #timer;
  #lookedAt = performance.now();

  /** Begins to watch. */
  constructor() {
    this.#timer = setInterval(() => {
      this.#look();
    }, LOOK_MILLISECONDS);
  }

  /**
   * Adds up the stalls within a time.
   * @param from Its begin.
   * @param to Its end.
   * @returns Their length, in milliseconds.
   */
  between(from: number, to: number): number {
    return this.#stalls.reduce((sum, stall) => {
      const overlap = Math.min(to, stall.to) - Math.max(from, stall.from);
      return sum + Math.max(0, overlap);
    }, 0);
  }

  /** Ends the watch. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const now = performance.now();
    const from = this.#lookedAt + LOOK_MILLISECONDS;
    if (now > from + LOOK_MILLISECONDS) this.#stalls.push({ from, to: now });
    this.#lookedAt = now;
  }
}
