import type { RequestId } from "../shared/mod.ts";
import type { RequestTrace } from "./request_trace.ts";

/** The maximum number of traces of open requests. */
export const OPEN_TRACE_LIMIT = 8_192;

/** The maximum number of traces of ended requests that did not fail. */
export const ENDED_TRACE_LIMIT = 4_096;

/**
 * The maximum number of traces of failed requests, which are kept apart so
 * that they last longer.
 */
export const FAILED_TRACE_LIMIT = 1_024;

/**
 * Stores the traces of open requests and of the latest ended ones. Failed
 * requests are stored separately, so that a high rate of successful requests
 * does not evict them.
 */
export class TraceStore {
  readonly #open = new Map<RequestId, RequestTrace>();
  readonly #ended = new Map<RequestId, RequestTrace>();
  readonly #failed = new Map<RequestId, RequestTrace>();

  /** The number of traces kept. */
  get size(): number {
    return this.#open.size + this.#ended.size + this.#failed.size;
  }

  /**
   * Finds the trace of an open request.
   * @param request The request.
   * @returns The trace, or undefined if there is none.
   */
  findOpen(request: RequestId): RequestTrace | undefined {
    return this.#open.get(request);
  }

  /**
   * Finds a trace.
   * @param request The request.
   * @returns The trace, or undefined if it is not kept.
   */
  find(request: RequestId): RequestTrace | undefined {
    return this.#open.get(request) ?? this.#ended.get(request) ??
      this.#failed.get(request);
  }

  /**
   * Returns the traces of open requests.
   * @returns The traces.
   */
  open(): Iterable<RequestTrace> {
    return this.#open.values();
  }

  /**
   * Adds the trace of a new request. Beyond the limit of open requests, the
   * oldest one is treated as ended.
   * @param trace The trace.
   */
  add(trace: RequestTrace): void {
    this.#open.set(trace.request, trace);
    if (this.#open.size <= OPEN_TRACE_LIMIT) return;
    const [oldest] = this.#open.values();
    if (oldest !== undefined) this.close(oldest, false);
  }

  /**
   * Moves a trace from the open to the ended requests.
   * @param trace The trace.
   * @param failed Whether the request failed.
   */
  close(trace: RequestTrace, failed: boolean): void {
    this.#open.delete(trace.request);
    const endedTraces = failed ? this.#failed : this.#ended;
    endedTraces.set(trace.request, trace);
    const limit = failed ? FAILED_TRACE_LIMIT : ENDED_TRACE_LIMIT;
    if (endedTraces.size <= limit) return;
    const [oldest] = endedTraces.keys();
    if (oldest !== undefined) endedTraces.delete(oldest);
  }
}
