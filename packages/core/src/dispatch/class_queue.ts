import type { Instant } from "../shared/mod.ts";
import TinyQueue from "tinyqueue";
import type { QueuedWork } from "./queued_work.ts";
import { TenantQueue } from "./tenant_queue.ts";

/**
 * The waiting requests of one class. Start-time fair queueing (Goyal, Vin and
 * Cheng 1996) over the work of requests divides the service between tenants, so
 * that a tenant with many requests does not delay one with few.
 */
export class ClassQueue<Request extends QueuedWork> {
  readonly #tenantQueues = new Map<string, TenantQueue<Request>>();
  #activeQueues = new TinyQueue<TenantQueue<Request>>([], byStartTag);
  readonly #slack: number;
  #virtualTime = 0;

  /**
   * @param slack The work by which a tenant may be ahead of the others while
   * its deadline is earlier than theirs.
   */
  constructor(slack = 0) {
    this.#slack = slack;
  }

  /**
   * Adds a request.
   * @param request The request.
   */
  add(request: Request): void {
    const { tenant } = request;
    const existing = this.#tenantQueues.get(tenant);
    if (existing !== undefined) {
      existing.add(request);
      return;
    }
    const queue = new TenantQueue<Request>(tenant);
    queue.startTag = this.startTag(tenant);
    queue.add(request);
    this.#tenantQueues.set(tenant, queue);
    this.#activeQueues.push(queue);
  }

  /**
   * Returns the start tag of a tenant's next request.
   * @param tenant The tenant.
   * @returns The tag; the lowest is served next.
   */
  startTag(tenant: string): number {
    return this.#tenantQueues.get(tenant)?.startTag ?? this.#virtualTime;
  }

  /**
   * Finds the next request.
   * @param now The present time.
   * @returns The request, or nothing if the queue is empty.
   */
  peek(now: Instant): Request | undefined {
    return this.#mostUrgent(now)?.peek(now);
  }

  /**
   * Removes the request that {@link peek} returns.
   * @param now The present time.
   */
  shift(now: Instant): void {
    const first = this.#first(now);
    const queue = this.#mostUrgent(now);
    const request = queue?.peek(now);
    if (first === undefined || queue === undefined || request === undefined) {
      return;
    }
    this.#virtualTime = first.startTag;
    queue.shift(now);
    queue.startTag += 1 + request.work;
    this.#reorder(queue);
  }

  /** Finds the tenant whose turn it is, and forgets those without requests. */
  #first(now: Instant): TenantQueue<Request> | undefined {
    for (;;) {
      const queue = this.#activeQueues.peek();
      if (queue === undefined || queue.peek(now) !== undefined) return queue;
      this.#activeQueues.pop();
      this.#tenantQueues.delete(queue.tenant);
    }
  }

  /** Finds the earliest deadline among the tenants within the slack. */
  #mostUrgent(now: Instant): TenantQueue<Request> | undefined {
    const first = this.#first(now);
    if (first === undefined || this.#slack === 0) return first;
    let mostUrgent = first;
    let deadline = first.peek(now)?.deadline ?? Infinity;
    for (const queue of this.#tenantQueues.values()) {
      if (queue.startTag > first.startTag + this.#slack) continue;
      const head = queue.peek(now);
      if (head === undefined || head.deadline >= deadline) continue;
      mostUrgent = queue;
      deadline = head.deadline;
    }
    return mostUrgent;
  }

  /** Restores the order of tenants after the start tag of one was raised. */
  #reorder(queue: TenantQueue<Request>): void {
    if (this.#activeQueues.peek() === queue) {
      this.#activeQueues.pop();
      this.#activeQueues.push(queue);
      return;
    }
    const queues = [...this.#tenantQueues.values()];
    this.#activeQueues = new TinyQueue(queues, byStartTag);
  }
}

function byStartTag(
  left: { readonly startTag: number },
  right: { readonly startTag: number },
): number {
  return left.startTag - right.startTag;
}
