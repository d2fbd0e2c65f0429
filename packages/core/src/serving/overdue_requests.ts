import type { EngineRequest, EngineRequests } from "../dispatch/mod.ts";
import type { Instant } from "../shared/mod.ts";
import { GiveUpTimer } from "./give_up_timer.ts";

/** Finds waiting requests that are overdue and delay others. */
export class OverdueRequests {
  readonly #engineRequests: EngineRequests;
  readonly #timer = new GiveUpTimer();

  /** @param engineRequests The requests at the engine. */
  constructor(engineRequests: EngineRequests) {
    this.#engineRequests = engineRequests;
  }

  /** When a waiting request may next have to be refused. */
  get nextDueAt(): Instant | undefined {
    return this.#timer.nextDueAt;
  }

  /**
   * Starts to watch a new request.
   * @param request The request.
   */
  watch(request: EngineRequest): void {
    this.#timer.watch(request);
  }

  /**
   * Refuses the overdue requests that delay others; the rest keep waiting.
   * @param now The present time.
   * @param refuse Removes a request from the engine's requests. It must do so
   * at once, since the check of the next request depends on it.
   */
  refuseDue(now: Instant, refuse: (request: EngineRequest) => void): void {
    for (const request of this.#timer.takeDue(now)) {
      if (request.isAtEngine || request.state === "over") continue;
      if (this.#delaysOthers(request)) refuse(request);
      else this.#timer.extend(now, request);
    }
  }

  #delaysOthers(request: EngineRequest): boolean {
    return request.state === "ready"
      ? this.#engineRequests.ready.size > 1
      : this.#engineRequests.blocked.size > 1;
  }
}
