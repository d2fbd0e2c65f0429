import type { RequestId } from "../shared/mod.ts";
import type { RequestTrace } from "./request_trace.ts";

/** Most requests whose traces are kept while they are open. */
export const OPEN_TRACE_LIMIT = 8_192;

/** Most requests whose traces are kept after their end. */
export const ENDED_TRACE_LIMIT = 4_096;

/** Most failed requests whose traces are kept apart, to last longer. */
export const FAILED_TRACE_LIMIT = 1_024;

/**
 * Keeps the traces of open requests and of the latest ended ones. Failed
 * requests have a ring of their own, so that a flood of good ones does not
 * push them out.
 */
export class TraceStore {
  readonly #open = new Map<RequestId, RequestTrace>();
  readonly #ended = new Map<RequestId, RequestTrace>();
  readonly #failed = new Map<RequestId, RequestTrace>();

  /** How many traces are kept. */
  get size(): number {
    return this.#open.size + this.#ended.size + this.#failed.size;
  }

  /**
   * Finds the trace of an open request.
   * @param request The request.
   * @returns The trace, or nothing.
   */
  findOpen(request: RequestId): RequestTrace | undefined {
    return this.#open.get(request);
  }

  /**
   * Finds a trace.
   * @param request The request.
   * @returns The trace, or nothing where it is not or no longer kept.
   */
  find(request: RequestId): RequestTrace | undefined {
    return this.#open.get(request) ?? this.#ended.get(request) ??
      this.#failed.get(request);
  }

  /**
   * Lists the traces of open requests.
   * @returns The traces.
   */
  open(): Iterable<RequestTrace> {
    return this.#open.values();
  }

  /**
   * Keeps the trace of a new request. Where too many are open, the oldest
   * counts as ended.
   * @param trace The trace.
   */
  add(trace: RequestTrace): void {
    this.#open.set(trace.request, trace);
    if (this.#open.size <= OPEN_TRACE_LIMIT) return;
    const [oldest] = this.#open.values();
    if (oldest !== undefined) this.close(oldest, false);
  }

  /**
   * Moves a trace to those of ended requests.
   * @param trace The trace.
   * @param failed Whether the request failed.
   */
  close(trace: RequestTrace, failed: boolean): void {
    this.#open.delete(trace.request);
    const ring = failed ? this.#failed : this.#ended;
    ring.set(trace.request, trace);
    const limit = failed ? FAILED_TRACE_LIMIT : ENDED_TRACE_LIMIT;
    if (ring.size <= limit) return;
    const [oldest] = ring.keys();
    if (oldest !== undefined) ring.delete(oldest);
  }
}
