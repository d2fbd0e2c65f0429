import type {
  AdapterKey,
  AdapterReference,
  Instant,
  RequestId,
} from "../shared/mod.ts";
import type { WaitingRequest } from "./waiting_request.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * The urgency of a long queue is extrapolated from this many requests at its
 * beginning.
 */
const LINE_SAMPLE = 32;
/**
 * Slack below this share of the target, also past the deadline, does not make
 * a request more urgent.
 */
const LEAST_SLACK_SHARE = 0.25;

/** The requests for one adapter, which share a single load. */
export interface AdapterLine {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly requests: ReadonlyMap<RequestId, WaitingRequest>;
}

interface OpenLine extends AdapterLine {
  readonly requests: Map<RequestId, WaitingRequest>;
}

/** Groups requests by adapter. */
export class AdapterLines {
  readonly #lines = new Map<AdapterKey, OpenLine>();
  #size = 0;

  /** The number of requests in all queues. */
  get size(): number {
    return this.#size;
  }

  /** The queues, one for each adapter with requests. */
  get lines(): Iterable<AdapterLine> {
    return this.#lines.values();
  }

  /** The number of adapters with requests. */
  get adapters(): number {
    return this.#lines.size;
  }

  /**
   * Tells whether an adapter has requests.
   * @param key The key of the adapter.
   * @returns Whether it has any.
   */
  has(key: AdapterKey): boolean {
    return this.#lines.has(key);
  }

  /**
   * Finds the queue of an adapter.
   * @param key The key of the adapter.
   * @returns The queue, or nothing if the adapter has no requests.
   */
  find(key: AdapterKey): AdapterLine | undefined {
    return this.#lines.get(key);
  }

  /**
   * Adds a request.
   * @param request The request.
   */
  add(request: WaitingRequest): void {
    const line = this.#lines.get(request.key) ?? {
      key: request.key,
      adapter: request.queued.adapter,
      requests: new Map<RequestId, WaitingRequest>(),
    };
    this.#lines.set(request.key, line);
    line.requests.set(request.queued.request, request);
    this.#size += 1;
  }

  /**
   * Removes a request.
   * @param request The request.
   */
  remove(request: WaitingRequest): void {
    const line = this.#lines.get(request.key);
    if (line?.requests.delete(request.queued.request) !== true) return;
    this.#size -= 1;
    if (line.requests.size === 0) this.#lines.delete(request.key);
  }

  /**
   * Removes all requests for an adapter.
   * @param key The key of the adapter.
   * @returns The requests, in the order of arrival.
   */
  release(key: AdapterKey): readonly WaitingRequest[] {
    const line = this.#lines.get(key);
    if (line === undefined) return [];
    this.#lines.delete(key);
    this.#size -= line.requests.size;
    return [...line.requests.values()];
  }
}

/**
 * Estimates how much waiting a load for a queue saves. Each request counts with
 * the inverse of the time left until its deadline.
 * @param now The present time.
 * @param line The queue of the adapter.
 * @returns The saved waiting in target lengths per second.
 */
export function lineUrgency(now: Instant, line: AdapterLine): number {
  let urgency = 0;
  let visited = 0;
  for (const request of line.requests.values()) {
    urgency += requestUrgency(now, request);
    visited += 1;
    if (visited === LINE_SAMPLE) break;
  }
  return urgency * line.requests.size / Math.max(1, visited);
}

function requestUrgency(now: Instant, request: WaitingRequest): number {
  const left = request.deadline - now;
  if (left <= 0) return MILLISECONDS_PER_SECOND / request.target;
  const slack = Math.max(LEAST_SLACK_SHARE * request.target, left);
  return MILLISECONDS_PER_SECOND / slack;
}
