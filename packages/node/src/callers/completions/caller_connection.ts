import type { GenerationHandle } from "@foxtailwind/edges";
import type { ServerResponse } from "node:http";

/** What is done about a caller that does not read, or is gone. */
export interface CallerLimits {
  /** How long a caller may read nothing while output waits for it. */
  readonly unreadMilliseconds: number;
  /** Waiting output beyond this cuts the caller at once. */
  readonly unreadBytes: number;
}

/** Tells an answer that its caller is gone or was cut. */
export type OnCallerLost = (why: "left" | "cut") => void;

/**
 * The connection over which one answer goes. Passes back-pressure on to the
 * engine, and cuts a caller that stops reading.
 */
export class CallerConnection {
  readonly #response: ServerResponse;
  readonly #limits: CallerLimits;
  readonly #onLost: OnCallerLost;
  #handle: GenerationHandle | undefined;
  #unreadTimer: NodeJS.Timeout | undefined;
  #waiting = false;
  #finished = false;

  constructor(
    response: ServerResponse,
    options: { readonly limits: CallerLimits; readonly onLost: OnCallerLost },
  ) {
    this.#response = response;
    this.#limits = options.limits;
    this.#onLost = options.onLost;
    response.on("close", () => {
      this.#lose("left");
    });
  }

  /** Whether the caller is gone, so that nothing can be written. */
  get closed(): boolean {
    return this.#response.destroyed;
  }

  /** Gives the connection the generation that it holds back. */
  attach(handle: GenerationHandle): void {
    this.#handle = handle;
    if (this.#waiting) handle.pause();
    if (this.#response.destroyed && !this.#finished) handle.cancel();
  }

  /**
   * Writes a part of the answer.
   * @param text The part.
   */
  write(text: string): void {
    if (this.#response.write(text) || this.#finished) return;
    if (this.#response.writableLength > this.#limits.unreadBytes) {
      this.#cut();
      return;
    }
    this.#waitForCaller();
  }

  /** Takes note that the answer is complete: nothing is cancelled any more. */
  finish(): void {
    this.#finished = true;
    this.#stopWaiting();
  }

  /** Cancels the generation at the engine. */
  cancel(): void {
    this.#handle?.cancel();
  }

  #waitForCaller(): void {
    if (this.#waiting) return;
    this.#waiting = true;
    this.#handle?.pause();
    this.#unreadTimer = setTimeout(() => {
      this.#cut();
    }, this.#limits.unreadMilliseconds);
    this.#response.once("drain", () => {
      this.#stopWaiting();
      this.#handle?.unpause();
    });
  }

  #stopWaiting(): void {
    this.#waiting = false;
    clearTimeout(this.#unreadTimer);
  }

  #cut(): void {
    this.#lose("cut");
    this.#response.destroy();
  }

  #lose(why: "left" | "cut"): void {
    if (this.#finished) return;
    this.finish();
    this.#onLost(why);
    this.#handle?.cancel();
  }
}
