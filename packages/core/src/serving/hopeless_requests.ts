import type { RequestBook, WaitingRequest } from "../dispatch/mod.ts";
import type { Instant } from "../shared/mod.ts";
import { GiveUpTimer } from "./give_up_timer.ts";

/** Finds the requests that are too late and hold up others by their wait. */
export class HopelessRequests {
  readonly #book: RequestBook;
  readonly #timer = new GiveUpTimer();

  /** @param book The requests at the engine. */
  constructor(book: RequestBook) {
    this.#book = book;
  }

  /** When a waiting request may have to be given up. */
  get next(): Instant | undefined {
    return this.#timer.next;
  }

  /**
   * Watches a request from its arrival.
   * @param request The request.
   */
  watch(request: WaitingRequest): void {
    this.#timer.watch(request);
  }

  /**
   * Goes through the requests that are due, and lets go on waiting those that
   * harm nobody.
   * @param now The present time.
   * @param refuse Takes each of the others out of the book at once, since
   * whether the next one harms anybody depends on it.
   */
  refuseDue(now: Instant, refuse: (request: WaitingRequest) => void): void {
    for (const request of this.#timer.due(now)) {
      if (request.isAtEngine || request.place === "over") continue;
      if (this.#harmsOthers(request)) refuse(request);
      else this.#timer.watchAgain(now, request);
    }
  }

  #harmsOthers(request: WaitingRequest): boolean {
    return request.place === "ready"
      ? this.#book.ready.size > 1
      : this.#book.blocked.size > 1;
  }
}
