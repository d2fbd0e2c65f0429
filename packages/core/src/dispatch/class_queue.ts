import type { Instant, TenantId } from "../shared/mod.ts";
import TinyQueue from "tinyqueue";
import { TenantLine } from "./tenant_line.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * The ready requests of one class. Start-time fair queueing (Goyal, Vin and
 * Cheng 1996) over the maximum tokens of requests divides the service between
 * tenants, so that a tenant with many requests does not delay one with few.
 */
export class ClassQueue {
  readonly #lines = new Map<TenantId, TenantLine>();
  readonly #active = new TinyQueue<TenantLine>([], byTag);
  #virtualTime = 0;

  /**
   * Adds a request.
   * @param request The request.
   */
  add(request: WaitingRequest): void {
    const { tenant } = request.queued;
    const known = this.#lines.get(tenant);
    if (known !== undefined) {
      known.add(request);
      return;
    }
    const line = new TenantLine(tenant);
    line.tag = this.#virtualTime;
    line.add(request);
    this.#lines.set(tenant, line);
    this.#active.push(line);
  }

  /**
   * Finds the next request.
   * @param now The present time.
   * @returns The request, or nothing if the queue is empty.
   */
  peek(now: Instant): WaitingRequest | undefined {
    for (;;) {
      const line = this.#active.peek();
      if (line === undefined) return undefined;
      const request = line.peek(now);
      if (request !== undefined) return request;
      this.#active.pop();
      this.#lines.delete(line.tenant);
    }
  }

  /**
   * Removes the request that {@link peek} returns.
   * @param now The present time.
   */
  shift(now: Instant): void {
    const request = this.peek(now);
    const line = this.#active.pop();
    if (request === undefined || line === undefined) return;
    line.shift(now);
    this.#virtualTime = line.tag;
    line.tag += 1 + request.queued.maximumTokens;
    this.#active.push(line);
  }
}

function byTag(left: TenantLine, right: TenantLine): number {
  return left.tag - right.tag;
}
