import type { Instant, TenantId } from "../shared/mod.ts";
import TinyQueue from "tinyqueue";
import { TenantQueue } from "./tenant_queue.ts";
import type { EngineRequest } from "./engine_request.ts";

/**
 * The ready requests of one class. Start-time fair queueing (Goyal, Vin and
 * Cheng 1996) over the maximum tokens of requests divides the service between
 * tenants, so that a tenant with many requests does not delay one with few.
 */
export class ClassQueue {
  readonly #tenantQueues = new Map<TenantId, TenantQueue>();
  readonly #activeQueues = new TinyQueue<TenantQueue>([], byStartTag);
  #virtualTime = 0;

  /**
   * Adds a request.
   * @param request The request.
   */
  add(request: EngineRequest): void {
    const { tenant } = request.queued;
    const existing = this.#tenantQueues.get(tenant);
    if (existing !== undefined) {
      existing.add(request);
      return;
    }
    const queue = new TenantQueue(tenant);
    queue.startTag = this.#virtualTime;
    queue.add(request);
    this.#tenantQueues.set(tenant, queue);
    this.#activeQueues.push(queue);
  }

  /**
   * Finds the next request.
   * @param now The present time.
   * @returns The request, or nothing if the queue is empty.
   */
  peek(now: Instant): EngineRequest | undefined {
    for (;;) {
      const queue = this.#activeQueues.peek();
      if (queue === undefined) return undefined;
      const request = queue.peek(now);
      if (request !== undefined) return request;
      this.#activeQueues.pop();
      this.#tenantQueues.delete(queue.tenant);
    }
  }

  /**
   * Removes the request that {@link peek} returns.
   * @param now The present time.
   */
  shift(now: Instant): void {
    const request = this.peek(now);
    const queue = this.#activeQueues.pop();
    if (request === undefined || queue === undefined) return;
    queue.shift(now);
    this.#virtualTime = queue.startTag;
    queue.startTag += 1 + request.queued.maximumTokens;
    this.#activeQueues.push(queue);
  }
}

function byStartTag(left: TenantQueue, right: TenantQueue): number {
  return left.startTag - right.startTag;
}
