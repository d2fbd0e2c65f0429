import { afterPendingInput } from "./after_pending_input.ts";

/**
 * A signal that ends with another one, or at a limit once what came in time is
 * read. `AbortSignal.any` does not keep the timeouts that it follows: where one
 * is collected as garbage before its time, the signal never ends.
 */
export class BoundedSignal {
  readonly #controller = new AbortController();
  readonly #parent: AbortSignal;
  readonly #timer: NodeJS.Timeout;
  readonly #abort = (): void => {
    this.#controller.abort();
  };

  /**
   * @param parent The signal that it ends with.
   * @param limitMilliseconds The time from now, in milliseconds.
   */
  constructor(parent: AbortSignal, limitMilliseconds: number) {
    this.#parent = parent;
    this.#timer = setTimeout(afterPendingInput, limitMilliseconds, this.#abort);
    if (parent.aborted) this.#abort();
    else parent.addEventListener("abort", this.#abort);
  }

  /** The signal. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Lets go of the limit and of the other signal; nothing is ended by that. */
  release(): void {
    clearTimeout(this.#timer);
    this.#parent.removeEventListener("abort", this.#abort);
  }
}
