import type { Instant, TenantId } from "../shared/mod.ts";
import TinyQueue from "tinyqueue";
import type { WaitingRequest } from "./waiting_request.ts";

interface Entry {
  readonly request: WaitingRequest;
  readonly deadline: Instant;
  readonly order: number;
}

/**
 * One tenant's ready requests of one class, the earliest deadline first.
 * Requests that can no longer be in time stand behind those that can.
 */
export class TenantLine {
  readonly tenant: TenantId;
  /** Where the tenant stands in the class's fair order. */
  tag = 0;
  readonly #onTime = new TinyQueue<Entry>([], byDeadline);
  #added = 0;
  readonly #late = new TinyQueue<Entry>([], byDeadline);

  /** @param tenant The tenant. */
  constructor(tenant: TenantId) {
    this.tenant = tenant;
  }

  /**
   * Adds a request.
   * @param request The request.
   */
  add(request: WaitingRequest): void {
    const { deadline } = request;
    this.#onTime.push({ request, deadline, order: this.#added });
    this.#added += 1;
  }

  /**
   * Finds the request that goes next.
   * @param now The present time.
   * @returns The request, or nothing.
   */
  peek(now: Instant): WaitingRequest | undefined {
    this.#setLateAside(now);
    return this.#onTime.peek()?.request ?? peekReady(this.#late)?.request;
  }

  /**
   * Takes out the request that {@link peek} finds.
   * @param now The present time.
   */
  shift(now: Instant): void {
    this.#setLateAside(now);
    if (this.#onTime.pop() === undefined) this.#late.pop();
  }

  #setLateAside(now: Instant): void {
    for (;;) {
      const entry = peekReady(this.#onTime);
      if (entry === undefined || entry.deadline >= now) return;
      this.#onTime.pop();
      this.#late.push(entry);
    }
  }
}

/** Entries of requests that have left meanwhile are dropped here. */
function peekReady(queue: TinyQueue<Entry>): Entry | undefined {
  for (;;) {
    const entry = queue.peek();
    if (entry === undefined) return undefined;
    const valid = entry.request.place === "ready" &&
      entry.deadline === entry.request.deadline;
    if (valid) return entry;
    queue.pop();
  }
}

function byDeadline(left: Entry, right: Entry): number {
  return left.deadline - right.deadline || left.order - right.order;
}
