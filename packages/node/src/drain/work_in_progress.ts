/** Counts the requests of callers and peers that are in progress. */
export class WorkInProgress {
  readonly #listeners: (() => void)[] = [];
  #count = 0;

  /** The number of requests in progress. */
  get count(): number {
    return this.#count;
  }

  /**
   * Registers a listener for the end of the last request in progress.
   * @param listener Called each time the count drops to 0.
   */
  onIdle(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Begins a request.
   * @returns Ends the request; further calls do nothing.
   */
  begin(): () => void {
    this.#count += 1;
    let isEnded = false;
    return () => {
      if (isEnded) return;
      isEnded = true;
      this.#count -= 1;
      if (this.#count > 0) return;
      for (const listener of this.#listeners) listener();
    };
  }
}
