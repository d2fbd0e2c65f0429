/** Runs events in the order of a virtual time, counted in milliseconds. */
export class Timeline {
  readonly #events = new Map<number, (() => void)[]>();
  #now = 0;

  /** The virtual time. */
  get now(): number {
    return this.#now;
  }

  /**
   * Plans an event.
   * @param delay Milliseconds from now; rounded, and at least 1.
   * @param event What happens then.
   */
  after(delay: number, event: () => void): void {
    const at = this.#now + Math.max(1, Math.round(delay));
    const planned = this.#events.get(at);
    if (planned === undefined) this.#events.set(at, [event]);
    else planned.push(event);
  }

  /**
   * Runs all events up to a time.
   * @param end The time, inclusive.
   * @param each Called after each millisecond.
   */
  runUntil(end: number, each: (now: number) => void): void {
    while (this.#now < end) {
      this.#now += 1;
      const events = this.#events.get(this.#now) ?? [];
      this.#events.delete(this.#now);
      for (const event of events) event();
      each(this.#now);
    }
  }
}
