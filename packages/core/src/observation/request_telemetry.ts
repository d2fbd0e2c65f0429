import type { Histogram } from "hdr-histogram-js";
import {
  type Duration,
  elapsed,
  type Failure,
  type Instant,
} from "../shared/mod.ts";
import { explainTrace, type Explanation } from "./explanation.ts";
import {
  type HistogramReport,
  joinParts,
  type ReportPart,
  reportParts,
} from "./histogram_report.ts";
import type { EndKind, HistogramRow } from "./histogram_row.ts";
import { HistogramTable } from "./histogram_table.ts";
import type { HistogramWindow, Measure } from "./measure.ts";
import type { MergedRow } from "./merged_histograms.ts";
import type { RequestEvent } from "./request_event.ts";
import { type BatchSample, RequestObserver } from "./request_observer.ts";
import { RequestTrace } from "./request_trace.ts";
import {
  type ConfiguredNames,
  OTHER_CLASS,
  OTHER_TENANT,
} from "./row_choice.ts";
import { TraceStore } from "./trace_store.ts";
import type { RequestId } from "../shared/mod.ts";

/** Histograms record times in tenths of milliseconds. */
export const TICKS_PER_MILLISECOND = 10;

type FrameEvent = Extract<RequestEvent, { readonly kind: "frame" }>;
type EndedEvent = Extract<RequestEvent, { readonly kind: "ended" }>;

/** Maintains histograms and traces of the requests that a node sees. */
export class RequestTelemetry extends RequestObserver {
  readonly #table: HistogramTable;
  readonly #traces = new TraceStore();

  /** @param now The current time. */
  constructor(now: Instant) {
    super();
    this.#table = new HistogramTable(now);
  }

  /** An upper estimate of the memory of all histograms, in bytes. */
  get histogramBytes(): number {
    return this.#table.bytes;
  }

  /** The number of traces kept. */
  get traces(): number {
    return this.#traces.size;
  }

  override record(now: Instant, event: RequestEvent): void {
    if (event.kind === "frame") {
      this.#recordFrame(now, event);
      return;
    }
    this.#table.advance(now);
    const trace = this.#traces.findOpen(event.request) ??
      this.#openTrace(now, event.request);
    trace.addStep(now, event);
    this.#recordStep(now, event, trace);
  }

  override recordBatch(now: Instant, sample: BatchSample): void {
    this.#table.advance(now);
    this.#table.recordBatchFill(sample.engine, sample.fill);
  }

  /**
   * Applies the configured classes and tenants.
   * @param names The configured classes and tenants.
   */
  configure(names: ConfiguredNames): void {
    if (!this.#table.configure(names)) return;
    for (const trace of this.#traces.open()) trace.row = this.#rowFor(trace);
  }

  /**
   * Reports all histograms of a window, part by part.
   * @param now The current time.
   * @param window The window.
   * @returns The parts, which can be merged with those of other nodes.
   */
  reportParts(now: Instant, window: HistogramWindow): Generator<ReportPart> {
    this.#table.advance(now);
    return reportParts(this.#table, window);
  }

  /**
   * Reads the rows of a window one by one, without encoding them.
   * @param now The current time.
   * @param window The window.
   * @returns Copies of the rows.
   */
  *readRows(now: Instant, window: HistogramWindow): Generator<MergedRow> {
    this.#table.advance(now);
    for (const row of [...this.#table.rows()]) yield copyRow(row, window);
  }

  /**
   * Reports all histograms of a window at once.
   * @param now The current time.
   * @param window The window.
   * @returns The report.
   */
  report(now: Instant, window: HistogramWindow): HistogramReport {
    return joinParts(this.reportParts(now, window));
  }

  /**
   * Explains what happened to a request at this node.
   * @param now The current time.
   * @param request The request.
   * @returns The explanation, or undefined if no trace is kept.
   */
  explain(now: Instant, request: RequestId): Explanation | undefined {
    const trace = this.#traces.find(request);
    return trace === undefined ? undefined : explainTrace(trace, now);
  }

  #openTrace(now: Instant, request: RequestId): RequestTrace {
    const row = this.#table.row(OTHER_CLASS, OTHER_TENANT);
    const trace = new RequestTrace(request, now, row);
    this.#traces.add(trace);
    return trace;
  }

  #recordFrame(now: Instant, event: FrameEvent): void {
    const trace = this.#traces.findOpen(event.request);
    if (trace === undefined || event.tokens === 0) return;
    if (trace.lastFrameAt === undefined) {
      trace.firstFrameAt = now;
      this.#recordSinceArrival(now, "first_token", trace);
    } else {
      const gap = elapsed(trace.lastFrameAt, now);
      const ticks = Math.round(gap * TICKS_PER_MILLISECOND / event.tokens);
      trace.row.histogram("between_tokens").record(ticks, event.tokens);
    }
    trace.lastFrameAt = now;
    trace.frames += 1;
    trace.tokens += event.tokens;
  }

  #recordStep(now: Instant, event: RequestEvent, trace: RequestTrace): void {
    switch (event.kind) {
      case "arrived":
        trace.arrivedAt = now;
        trace.class = event.class;
        trace.tenant = event.tenant;
        trace.adapter = event.adapter;
        trace.row = this.#rowFor(trace);
        break;
      case "queued":
        trace.class ??= event.class;
        trace.tenant ??= event.tenant;
        trace.row = this.#rowFor(trace);
        break;
      case "dispatched":
        recordDuration(trace.row, "queue_wait", event.queueWait);
        recordDuration(trace.row, "load_stall", event.loadStall);
        break;
      case "ended":
        this.#recordEnd(now, event, trace);
        break;
      case "routed":
      case "load_started":
      case "load_ended":
      case "preempted":
      case "attempt_failed":
      case "frame":
        break;
    }
  }

  #recordEnd(now: Instant, event: EndedEvent, trace: RequestTrace): void {
    trace.ended = true;
    // Only the node where the request arrived counts its end; other nodes
    // just keep the trace.
    if (trace.arrivedAt !== undefined) {
      trace.row.countEnd(endKindOf(event.failure));
      if (event.failure === undefined) {
        this.#recordSinceArrival(now, "whole_answer", trace);
      }
    }
    this.#traces.close(trace, event.failure !== undefined);
  }

  #recordSinceArrival(
    now: Instant,
    measure: Measure,
    trace: RequestTrace,
  ): void {
    if (trace.arrivedAt === undefined) return;
    recordDuration(trace.row, measure, elapsed(trace.arrivedAt, now));
  }

  #rowFor(trace: RequestTrace): HistogramRow {
    return this.#table.row(
      trace.class ?? OTHER_CLASS,
      trace.tenant ?? OTHER_TENANT,
    );
  }
}

function copyRow(row: HistogramRow, window: HistogramWindow): MergedRow {
  const histograms = [...row.histograms].map((
    [measure, histogram],
  ): [Measure, Histogram] => [measure, histogram.read(window)]);
  return {
    class: row.class,
    tenant: row.tenant,
    ended: { ...row.ended },
    histograms: new Map(histograms),
  };
}

function recordDuration(
  row: HistogramRow,
  measure: Measure,
  duration: Duration,
): void {
  const ticks = Math.max(Math.round(duration * TICKS_PER_MILLISECOND), 0);
  row.histogram(measure).record(ticks, 1);
}

function endKindOf(failure: Failure | undefined): EndKind {
  if (failure === undefined) return "answered";
  return failure.outcome === "not_run" ? "refused" : "failed";
}
