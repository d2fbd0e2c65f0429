import TinyQueue from "tinyqueue";
import type { WaitingRequest } from "../dispatch/mod.ts";
import { type Instant, later } from "../shared/mod.ts";

interface Entry {
  readonly request: WaitingRequest;
  readonly at: Instant;
}

/** Finds requests that have waited too long without visiting all of them. */
export class GiveUpTimer {
  readonly #entries = new TinyQueue<Entry>(
    [],
    (left, right) => left.at - right.at,
  );

  /** When the next waiting request is due. */
  get next(): Instant | undefined {
    this.#dropOver();
    return this.#entries.peek()?.at;
  }

  /**
   * Schedules a new request.
   * @param request The request.
   */
  watch(request: WaitingRequest): void {
    this.#entries.push({ request, at: request.givenUpAt() });
  }

  /**
   * Schedules a request again, one target length from now.
   * @param now The present time.
   * @param request The request.
   */
  watchAgain(now: Instant, request: WaitingRequest): void {
    this.#entries.push({ request, at: later(now, request.target) });
  }

  /**
   * Removes the entries that are due.
   * @param now The present time.
   * @returns Their requests, some of which may no longer wait.
   */
  due(now: Instant): readonly WaitingRequest[] {
    const due: WaitingRequest[] = [];
    for (;;) {
      const entry = this.#entries.peek();
      if (entry === undefined || entry.at > now) return due;
      this.#entries.pop();
      due.push(entry.request);
    }
  }

  #dropOver(): void {
    for (;;) {
      const entry = this.#entries.peek();
      if (entry === undefined) return;
      const { place } = entry.request;
      if (place === "ready" || place === "blocked") return;
      this.#entries.pop();
    }
  }
}
