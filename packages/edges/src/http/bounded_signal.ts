import { afterPendingInput } from "./after_pending_input.ts";

/**
 * A signal that ends with another one, or at a limit once what came in time is
 * read. `AbortSignal.any` does not keep the timeouts that it follows: where one
 * is collected as garbage before its time, the signal never ends.
 */
export class BoundedSignal {
  readonly #over = new AbortController();
  readonly #parent: AbortSignal;
  readonly #timer: NodeJS.Timeout;
  readonly #end = (): void => {
    this.#over.abort();
  };

  /**
   * @param parent The signal that it ends with.
   * @param limit The time from now, in milliseconds.
   */
  constructor(parent: AbortSignal, limit: number) {
    this.#parent = parent;
    this.#timer = setTimeout(afterPendingInput, limit, this.#end);
    if (parent.aborted) this.#end();
    else parent.addEventListener("abort", this.#end);
  }

  /** The signal. */
  get signal(): AbortSignal {
    return this.#over.signal;
  }

  /** Lets go of the limit and of the other signal; nothing is ended by that. */
  release(): void {
    clearTimeout(this.#timer);
    this.#parent.removeEventListener("abort", this.#end);
  }
}
