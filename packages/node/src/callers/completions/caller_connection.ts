import type { GenerationHandle } from "@foxtailwind/edges";
import type { ServerResponse } from "node:http";

/** Limits on output that a caller has not read. */
export interface CallerLimits {
  /** How long buffered output may stay unread. */
  readonly unreadMilliseconds: number;
  /** Disconnects the caller at once when exceeded. */
  readonly unreadBytes: number;
}

/** Called when the caller has left or was disconnected. */
export type OnCallerLost = (why: "left" | "cut") => void;

/**
 * The connection of one response. Propagates backpressure to the engine and
 * disconnects a caller that stops reading.
 */
export class CallerConnection {
  readonly #response: ServerResponse;
  readonly #limits: CallerLimits;
  readonly #onLost: OnCallerLost;
  #handle: GenerationHandle | undefined;
  #unreadTimer: NodeJS.Timeout | undefined;
  #paused = false;
  #finished = false;

  constructor(
    response: ServerResponse,
    options: { readonly limits: CallerLimits; readonly onLost: OnCallerLost },
  ) {
    this.#response = response;
    this.#limits = options.limits;
    this.#onLost = options.onLost;
    response.on("close", () => {
      this.#endAsLost("left");
    });
  }

  /** Whether the connection is closed, so that nothing can be written. */
  get isClosed(): boolean {
    return this.#response.destroyed;
  }

  /** Attaches the generation that backpressure pauses. */
  attach(handle: GenerationHandle): void {
    this.#handle = handle;
    if (this.#paused) handle.pause();
    if (this.#response.destroyed && !this.#finished) handle.cancel();
  }

  /**
   * Writes a part of the response.
   * @param text The part.
   */
  write(text: string): void {
    if (this.#response.write(text) || this.#finished) return;
    if (this.#response.writableLength > this.#limits.unreadBytes) {
      this.#disconnect();
      return;
    }
    this.#pauseUntilDrained();
  }

  /** Marks the response as complete; from then on nothing is cancelled. */
  finish(): void {
    this.#finished = true;
    this.#clearPause();
  }

  /** Cancels the generation at the engine. */
  cancel(): void {
    this.#handle?.cancel();
  }

  #pauseUntilDrained(): void {
    if (this.#paused) return;
    this.#paused = true;
    this.#handle?.pause();
    this.#unreadTimer = setTimeout(() => {
      this.#disconnect();
    }, this.#limits.unreadMilliseconds);
    this.#response.once("drain", () => {
      this.#clearPause();
      this.#handle?.unpause();
    });
  }

  #clearPause(): void {
    this.#paused = false;
    clearTimeout(this.#unreadTimer);
  }

  #disconnect(): void {
    this.#endAsLost("cut");
    this.#response.destroy();
  }

  #endAsLost(why: "left" | "cut"): void {
    if (this.#finished) return;
    this.finish();
    this.#onLost(why);
    this.#handle?.cancel();
  }
}
