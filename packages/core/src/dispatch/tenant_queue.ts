import type { Instant } from "../shared/mod.ts";
import TinyQueue from "tinyqueue";
import type { QueuedWork } from "./queued_work.ts";

interface Entry<Request> {
  readonly request: Request;
  readonly deadline: Instant;
  readonly order: number;
}

/**
 * The ready requests of one tenant in one class, by earliest deadline.
 * Requests past their deadline come after all others.
 */
export class TenantQueue<Request extends QueuedWork> {
  readonly tenant: string;
  /** The tenant's start tag in the class's fair queue. */
  startTag = 0;
  readonly #onTime = new TinyQueue<Entry<Request>>([], byDeadline);
  #nextOrder = 0;
  readonly #late = new TinyQueue<Entry<Request>>([], byDeadline);

  /** @param tenant The tenant. */
  constructor(tenant: string) {
    this.tenant = tenant;
  }

  /**
   * Adds a request.
   * @param request The request.
   */
  add(request: Request): void {
    const { deadline } = request;
    this.#onTime.push({ request, deadline, order: this.#nextOrder });
    this.#nextOrder += 1;
  }

  /**
   * Finds the next request.
   * @param now The present time.
   * @returns The request, or nothing if the queue is empty.
   */
  peek(now: Instant): Request | undefined {
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
 * no longer wait or whose deadline has changed.
 */
function peekCurrent<Request extends QueuedWork>(
  queue: TinyQueue<Entry<Request>>,
): Entry<Request> | undefined {
  for (;;) {
    const entry = queue.peek();
    if (entry === undefined) return undefined;
    const isCurrent = entry.request.isWaiting &&
      entry.deadline === entry.request.deadline;
    if (isCurrent) return entry;
    queue.pop();
  }
}

function byDeadline(left: Entry<unknown>, right: Entry<unknown>): number {
  return left.deadline - right.deadline || left.order - right.order;
}
