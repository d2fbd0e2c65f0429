import type {
  AdapterKey,
  AdapterReference,
  Instant,
  RequestId,
} from "../shared/mod.ts";
import type { WaitingRequest } from "./waiting_request.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** The rest of a long line is taken to be like its beginning. */
const LINE_SAMPLE = 32;
/** A request this near its deadline, or past it, is not more urgent still. */
const LEAST_SLACK_SHARE = 0.25;

/** The requests for one adapter; one load serves them all. */
export interface AdapterLine {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly requests: ReadonlyMap<RequestId, WaitingRequest>;
}

interface OpenLine extends AdapterLine {
  readonly requests: Map<RequestId, WaitingRequest>;
}

/** Requests by the adapter that they name. */
export class AdapterLines {
  readonly #lines = new Map<AdapterKey, OpenLine>();
  #size = 0;

  /** How many requests there are. */
  get size(): number {
    return this.#size;
  }

  /** The lines, one for each adapter that is named. */
  get lines(): Iterable<AdapterLine> {
    return this.#lines.values();
  }

  /** How many adapters are named. */
  get adapters(): number {
    return this.#lines.size;
  }

  /**
   * Tells whether an adapter is waited for.
   * @param key The adapter.
   * @returns Whether a request waits for it.
   */
  has(key: AdapterKey): boolean {
    return this.#lines.has(key);
  }

  /**
   * Finds the line for an adapter.
   * @param key The adapter.
   * @returns The line, or nothing where no request waits for it.
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
   * Takes a request out.
   * @param request The request.
   */
  remove(request: WaitingRequest): void {
    const line = this.#lines.get(request.key);
    if (line?.requests.delete(request.queued.request) !== true) return;
    this.#size -= 1;
    if (line.requests.size === 0) this.#lines.delete(request.key);
  }

  /**
   * Takes out all requests for an adapter.
   * @param key The adapter.
   * @returns The requests, in the order of their arrival.
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
 * Works out how much waiting a load for a line saves: each request counts
 * with the inverse of what is left of its target.
 * @param now The present time.
 * @param line The requests that wait.
 * @returns Target lengths of waiting saved a second.
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
