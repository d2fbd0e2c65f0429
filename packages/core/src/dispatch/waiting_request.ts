import {
  type AdapterKey,
  adapterKey,
  type Duration,
  elapsed,
  type Instant,
  instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import type { QueuedRequest } from "../serving/engine_event.ts";

/** Where a request stands at its engine. */
export type WaitingPlace = "blocked" | "ready" | "running" | "over";

/** A request at an engine, with what changes while it waits. */
export class WaitingRequest {
  readonly queued: QueuedRequest;
  readonly key: AdapterKey;
  readonly submittedAt: Instant;
  place: WaitingPlace = "blocked";
  /** Since when it has waited for its adapter. */
  blockedSince: Instant;
  /** Whether the engine still holds it, though it gave up its place. */
  displaced = false;
  dispatchedAt: Instant | undefined;
  firstTokenAt: Instant | undefined;
  #target: Duration;
  #stalled = 0;

  /**
   * @param now The present time.
   * @param queued The request.
   */
  constructor(now: Instant, queued: QueuedRequest) {
    this.queued = queued;
    this.key = adapterKey(queued.adapter);
    this.submittedAt = now;
    this.blockedSince = now;
    this.#target = queued.firstTokenTarget;
  }

  /** The target for its first token. */
  get target(): Duration {
    return this.#target;
  }

  /** When its first token is due. */
  get deadline(): Instant {
    return instant(this.submittedAt - this.queued.waitedBefore + this.#target);
  }

  /** Whether the engine has it, with a place in the batch or without. */
  get isAtEngine(): boolean {
    return this.place === "running" || this.displaced;
  }

  /** How long it waited for its adapter. */
  get loadStall(): Duration {
    return milliseconds(this.#stalled);
  }

  /**
   * Changes the target.
   * @param target The new target.
   */
  retarget(target: Duration): void {
    this.#target = target;
  }

  /**
   * Takes note that its adapter can run.
   * @param now The present time.
   */
  unblock(now: Instant): void {
    this.#stalled += elapsed(this.blockedSince, now);
    this.place = "ready";
  }

  /**
   * Takes note that its adapter has left before the request ran.
   * @param now The present time.
   */
  block(now: Instant): void {
    this.blockedSince = now;
    this.place = "blocked";
  }

  /**
   * Tells when it is given up if it still waits and others suffer from that.
   * @returns One target after its deadline.
   */
  givenUpAt(): Instant {
    return later(this.deadline, this.#target);
  }
}
