import type {
  AdapterKey,
  AdapterReference,
  Instant,
  RequestId,
} from "../shared/mod.ts";
import type { EngineRequest } from "./engine_request.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * The urgency of a long queue is extrapolated from this many requests at its
 * beginning.
 */
const URGENCY_SAMPLE_SIZE = 32;
/**
 * Slack below this share of the target, also past the deadline, does not make
 * a request more urgent.
 */
const MINIMUM_SLACK_SHARE = 0.25;

/** The requests for one adapter, which share a single load. */
export interface AdapterQueue {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly requests: ReadonlyMap<RequestId, EngineRequest>;
}

interface MutableAdapterQueue extends AdapterQueue {
  readonly requests: Map<RequestId, EngineRequest>;
}

/** Groups requests by adapter. */
export class AdapterQueues {
  readonly #queues = new Map<AdapterKey, MutableAdapterQueue>();
  #size = 0;

  /** The number of requests in all queues. */
  get size(): number {
    return this.#size;
  }

  /** The queues, one for each adapter with requests. */
  get queues(): Iterable<AdapterQueue> {
    return this.#queues.values();
  }

  /** The number of adapters with requests. */
  get adapterCount(): number {
    return this.#queues.size;
  }

  /**
   * Tells whether an adapter has requests.
   * @param key The key of the adapter.
   * @returns Whether it has any.
   */
  has(key: AdapterKey): boolean {
    return this.#queues.has(key);
  }

  /**
   * Finds the queue of an adapter.
   * @param key The key of the adapter.
   * @returns The queue, or nothing if the adapter has no requests.
   */
  find(key: AdapterKey): AdapterQueue | undefined {
    return this.#queues.get(key);
  }

  /**
   * Adds a request.
   * @param request The request.
   */
  add(request: EngineRequest): void {
    const queue = this.#queues.get(request.key) ?? {
      key: request.key,
      adapter: request.queued.adapter,
      requests: new Map<RequestId, EngineRequest>(),
    };
    this.#queues.set(request.key, queue);
    queue.requests.set(request.queued.request, request);
    this.#size += 1;
  }

  /**
   * Removes a request.
   * @param request The request.
   */
  remove(request: EngineRequest): void {
    const queue = this.#queues.get(request.key);
    if (queue?.requests.delete(request.queued.request) !== true) return;
    this.#size -= 1;
    if (queue.requests.size === 0) this.#queues.delete(request.key);
  }

  /**
   * Removes all requests for an adapter.
   * @param key The key of the adapter.
   * @returns The requests, in the order of arrival.
   */
  release(key: AdapterKey): readonly EngineRequest[] {
    const queue = this.#queues.get(key);
    if (queue === undefined) return [];
    this.#queues.delete(key);
    this.#size -= queue.requests.size;
    return [...queue.requests.values()];
  }
}

/**
 * Estimates how much waiting a load for a queue saves. Each request counts with
 * the inverse of the time left until its deadline.
 * @param now The present time.
 * @param queue The queue of the adapter.
 * @returns The saved waiting in target lengths per second.
 */
export function queueUrgency(now: Instant, queue: AdapterQueue): number {
  let urgency = 0;
  let sampled = 0;
  for (const request of queue.requests.values()) {
    urgency += requestUrgency(now, request);
    sampled += 1;
    if (sampled === URGENCY_SAMPLE_SIZE) break;
  }
  return urgency * queue.requests.size / Math.max(1, sampled);
}

function requestUrgency(now: Instant, request: EngineRequest): number {
  const remaining = request.deadline - now;
  if (remaining <= 0) return MILLISECONDS_PER_SECOND / request.target;
  const slack = Math.max(MINIMUM_SLACK_SHARE * request.target, remaining);
  return MILLISECONDS_PER_SECOND / slack;
}
