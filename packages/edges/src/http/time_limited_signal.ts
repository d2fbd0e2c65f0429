import { afterPendingInput } from "./after_pending_input.ts";

/**
 * An abort signal that follows a parent signal and also aborts at a time limit,
 * once all input that arrived in time has been read. `AbortSignal.any` does not
 * keep timeout signals alive: if one is garbage-collected before it fires, the
 * combined signal never aborts.
 */
export class TimeLimitedSignal {
  readonly #controller = new AbortController();
  readonly #parent: AbortSignal;
  readonly #timer: NodeJS.Timeout;
  readonly #abort = (): void => {
    this.#controller.abort();
  };

  /**
   * @param parent The signal to follow.
   * @param limitMilliseconds The time limit, from now.
   */
  constructor(parent: AbortSignal, limitMilliseconds: number) {
    this.#parent = parent;
    this.#timer = setTimeout(afterPendingInput, limitMilliseconds, this.#abort);
    if (parent.aborted) this.#abort();
    else parent.addEventListener("abort", this.#abort);
  }

  /** Aborts with the parent or at the time limit. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Stops the timer and stops following the parent, without aborting. */
  release(): void {
    clearTimeout(this.#timer);
    this.#parent.removeEventListener("abort", this.#abort);
  }
}
