import type { Instant } from "../shared/mod.ts";
import type { RequestEvent } from "./request_event.ts";

/** Learns what happens to requests; never influences it. */
export abstract class RequestObserver {
  /**
   * Takes note of an event.
   * @param now The present time.
   * @param event The event.
   */
  abstract record(now: Instant, event: RequestEvent): void;
}

/** Takes note of nothing. */
export class SilentObserver extends RequestObserver {
  override record(): void {
    // Nothing is kept.
  }
}
