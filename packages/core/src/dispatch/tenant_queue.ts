import type { Instant, TenantId } from "../shared/mod.ts";
import TinyQueue from "tinyqueue";
import type { EngineRequest } from "./engine_request.ts";

interface Entry {
  readonly request: EngineRequest;
  readonly deadline: Instant;
  readonly order: number;
}

/**
 * The ready requests of one tenant in one class, by earliest deadline.
 * Requests past their deadline come after all others.
 */
export class TenantQueue {
  readonly tenant: TenantId;
  /** The tenant's start tag in the class's fair queue. */
  startTag = 0;
  readonly #onTime = new TinyQueue<Entry>([], byDeadline);
  #nextOrder = 0;
  readonly #late = new TinyQueue<Entry>([], byDeadline);

  /** @param tenant The tenant. */
  constructor(tenant: TenantId) {
    this.tenant = tenant;
  }

  /**
   * Adds a request.
   * @param request The request.
   */
  add(request: EngineRequest): void {
    const { deadline } = request;
    this.#onTime.push({ request, deadline, order: this.#nextOrder });
    this.#nextOrder += 1;
  }

  /**
   * Finds the next request.
   * @param now The present time.
   * @returns The request, or nothing if the queue is empty.
   */
  peek(now: Instant): EngineRequest | undefined {
    this.#moveLateRequests(now);
    return this.#onTime.peek()?.request ?? peekCurrent(this.#late)?.request;
  }

  /**
   * Removes the request that {@link peek} returns.
   * @param now The present time.
   */
  shift(now: Instant): void {
    this.#moveLateRequests(now);
    if (this.#onTime.pop() === undefined) this.#late.pop();
  }

  #moveLateRequests(now: Instant): void {
    for (;;) {
      const entry = peekCurrent(this.#onTime);
      if (entry === undefined || entry.deadline >= now) return;
      this.#onTime.pop();
      this.#late.push(entry);
    }
  }
}

/**
 * Finds the first entry that is still valid. Removes entries of requests that
 * are no longer ready or whose deadline has changed.
 */
function peekCurrent(queue: TinyQueue<Entry>): Entry | undefined {
  for (;;) {
    const entry = queue.peek();
    if (entry === undefined) return undefined;
    const isCurrent = entry.request.state === "ready" &&
      entry.deadline === entry.request.deadline;
    if (isCurrent) return entry;
    queue.pop();
  }
}

function byDeadline(left: Entry, right: Entry): number {
  return left.deadline - right.deadline || left.order - right.order;
}
