import TinyQueue from "tinyqueue";
import type { WaitingRequest } from "../dispatch/mod.ts";
import { type Instant, later } from "../shared/mod.ts";

interface Entry {
  readonly request: WaitingRequest;
  readonly at: Instant;
}

/** Finds the requests that have waited too long, without a visit to all. */
export class GiveUpTimer {
  readonly #entries = new TinyQueue<Entry>(
    [],
    (left, right) => left.at - right.at,
  );

  /** When the next request is due; it may have left meanwhile. */
  get next(): Instant | undefined {
    this.#dropOver();
    return this.#entries.peek()?.at;
  }

  /**
   * Watches a request from its arrival.
   * @param request The request.
   */
  watch(request: WaitingRequest): void {
    this.#entries.push({ request, at: request.givenUpAt() });
  }

  /**
   * Watches a request for another target's length.
   * @param now The present time.
   * @param request The request.
   */
  watchAgain(now: Instant, request: WaitingRequest): void {
    this.#entries.push({ request, at: later(now, request.target) });
  }

  /**
   * Takes out the requests that are due.
   * @param now The present time.
   * @returns The requests.
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
