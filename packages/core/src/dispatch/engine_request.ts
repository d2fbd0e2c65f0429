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
import type { QueuedWork } from "./queued_work.ts";

/** The state of a request at its engine. */
export type RequestState = "blocked" | "ready" | "running" | "over";

/** A request at an engine, with its state and times. */
export class EngineRequest implements QueuedWork {
  readonly queued: QueuedRequest;
  readonly key: AdapterKey;
  readonly submittedAt: Instant;
  state: RequestState = "blocked";
  /** When the request last began to wait for its adapter. */
  blockedSince: Instant;
  /** Whether the request lost its place but is still at the engine. */
  isPreempted = false;
  dispatchedAt: Instant | undefined;
  firstTokenAt: Instant | undefined;
  #target: Duration;
  #loadStallMilliseconds = 0;

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

  /** The tenant that the request belongs to. */
  get tenant(): string {
    return this.queued.tenant;
  }

  /** The maximum number of tokens. */
  get work(): number {
    return this.queued.maximumTokens;
  }

  /** Whether the request only waits for a place in the batch. */
  get isWaiting(): boolean {
    return this.state === "ready";
  }

  /** The target for the time to the first token. */
  get target(): Duration {
    return this.#target;
  }

  /** When the first token is due. */
  get deadline(): Instant {
    return instant(this.submittedAt - this.queued.waitedBefore + this.#target);
  }

  /** Whether the request is at the engine, running or preempted. */
  get isAtEngine(): boolean {
    return this.state === "running" || this.isPreempted;
  }

  /** The total time that the request waited for its adapter. */
  get loadStall(): Duration {
    return milliseconds(this.#loadStallMilliseconds);
  }

  /**
   * Changes the target.
   * @param target The new target.
   */
  retarget(target: Duration): void {
    this.#target = target;
  }

  /**
   * Makes the request ready, since its adapter can run.
   * @param now The present time.
   */
  unblock(now: Instant): void {
    this.#loadStallMilliseconds += elapsed(this.blockedSince, now);
    this.state = "ready";
  }

  /**
   * Blocks the request, since its adapter left before the request ran.
   * @param now The present time.
   */
  block(now: Instant): void {
    this.blockedSince = now;
    this.state = "blocked";
  }

  /**
   * Tells when the request is refused if it still waits and delays others.
   * @returns The time, one target after the deadline.
   */
  giveUpAt(): Instant {
    return later(this.deadline, this.#target);
  }
}
