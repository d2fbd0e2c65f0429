import { afterPendingInput } from "./after_pending_input.ts";

/**
 * Aborts a call without progress, once all input that arrived in time has been
 * read. Unlike a limit on the whole call, it lets a large response arrive over
 * a slow link. Its timer does not keep the process running.
 */
export class IdleTimeout {
  readonly #controller = new AbortController();
  #timer: NodeJS.Timeout | undefined;

  /** @param limitMilliseconds The time limit of the response, from now. */
  constructor(limitMilliseconds: number) {
    this.#timer = this.#start(limitMilliseconds);
  }

  /** Aborts at the time limit. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /**
   * Records progress.
   * @param limitMilliseconds The time limit of the next progress, from now.
   */
  restart(limitMilliseconds: number): void {
    clearTimeout(this.#timer);
    this.#timer = this.#start(limitMilliseconds);
  }

  /** Stops the timer, without aborting. */
  clear(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #start(limitMilliseconds: number): NodeJS.Timeout {
    const timer = setTimeout(() => {
      afterPendingInput(() => {
        // Pending input may have restarted the timer.
        if (this.#timer !== timer) return;
        this.#controller.abort(new Error("No answer came in time."));
      });
    }, limitMilliseconds);
    return timer.unref();
  }
}
