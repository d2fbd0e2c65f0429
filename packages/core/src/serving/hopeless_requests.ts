import type { RequestBook, WaitingRequest } from "../dispatch/mod.ts";
import type { Instant } from "../shared/mod.ts";
import { GiveUpTimer } from "./give_up_timer.ts";

/** Finds waiting requests that are overdue and delay others. */
export class HopelessRequests {
  readonly #book: RequestBook;
  readonly #timer = new GiveUpTimer();

  /** @param book The requests at the engine. */
  constructor(book: RequestBook) {
    this.#book = book;
  }

  /** When a waiting request may next have to be refused. */
  get next(): Instant | undefined {
    return this.#timer.next;
  }

  /**
   * Starts to watch a new request.
   * @param request The request.
   */
  watch(request: WaitingRequest): void {
    this.#timer.watch(request);
  }

  /**
   * Refuses the overdue requests that delay others; the rest keep waiting.
   * @param now The present time.
   * @param refuse Removes a request from the engine's requests. It must do so
   * at once, since the check of the next request depends on it.
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
