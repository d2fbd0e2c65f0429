import TinyQueue from "tinyqueue";
import type { EngineRequest } from "../dispatch/mod.ts";
import { type Instant, later } from "../shared/mod.ts";

interface Entry {
  readonly request: EngineRequest;
  readonly at: Instant;
}

/** Finds requests that have waited too long without visiting all of them. */
export class GiveUpTimer {
  readonly #entries = new TinyQueue<Entry>(
    [],
    (left, right) => left.at - right.at,
  );

  /** When the next entry is due, unless its request is removed before. */
  get nextDueAt(): Instant | undefined {
    this.#dropEnded();
    return this.#entries.peek()?.at;
  }

  /**
   * Schedules a new request.
   * @param request The request.
   */
  watch(request: EngineRequest): void {
    this.#entries.push({ request, at: request.giveUpAt() });
  }

  /**
   * Schedules a request again, one target length from now.
   * @param now The present time.
   * @param request The request.
   */
  extend(now: Instant, request: EngineRequest): void {
    this.#entries.push({ request, at: later(now, request.target) });
  }

  /**
   * Removes the entries that are due.
   * @param now The present time.
   * @returns Their requests, some of which may no longer wait.
   */
  takeDue(now: Instant): readonly EngineRequest[] {
    const due: EngineRequest[] = [];
    for (;;) {
      const entry = this.#entries.peek();
      if (entry === undefined || entry.at > now) return due;
      this.#entries.pop();
      due.push(entry.request);
    }
  }

  #dropEnded(): void {
    for (;;) {
      const entry = this.#entries.peek();
      if (entry === undefined) return;
      const { state } = entry.request;
      if (state === "ready" || state === "blocked") return;
      this.#entries.pop();
    }
  }
}
