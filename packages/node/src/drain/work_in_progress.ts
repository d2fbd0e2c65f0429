/** Counts the requests of callers and peers that are in progress. */
export class WorkInProgress {
  readonly #listeners: (() => void)[] = [];
  #count = 0;

  /** How many are in progress. */
  get count(): number {
    return this.#count;
  }

  /**
   * Calls back whenever nothing is in progress any more.
   * @param listener What to call.
   */
  onIdle(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Begins a request.
   * @returns Ends it; further calls of it do nothing.
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
