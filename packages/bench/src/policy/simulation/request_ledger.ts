import {
  assertInvariant,
  type EngineId,
  type Instant,
  type RequestId,
} from "@foxtailwind/core";
import type { WorkloadRequest } from "../workloads/workload.ts";

/** What became of a request. */
export type RequestEnd = "answered" | "refused" | "interrupted";

/** What a run notes of one request. */
export interface RequestRecord {
  readonly work: WorkloadRequest;
  waitingSince: Instant | undefined;
  engine: EngineId | undefined;
  preempted: boolean;
  /** Time spent waiting for the adapter on the engine that then ran it. */
  stallMilliseconds: number;
  firstTokenAt: Instant | undefined;
  endedAt: Instant | undefined;
  end: RequestEnd | undefined;
}

/** Keeps every request from arrival to its one end. */
export class RequestLedger {
  readonly #records = new Map<RequestId, RequestRecord>();
  #open = 0;

  /** How many requests have not ended. */
  get open(): number {
    return this.#open;
  }

  /** How many requests arrived. */
  get arrivals(): number {
    return this.#records.size;
  }

  /** Every request that arrived. */
  get records(): readonly RequestRecord[] {
    return [...this.#records.values()];
  }

  /**
   * Notes an arrival.
   * @param now The present time.
   * @param work The request.
   */
  arrived(now: Instant, work: WorkloadRequest): void {
    const fresh = !this.#records.has(work.request);
    assertInvariant(fresh, "arrives_once", () => work.request);
    this.#open += 1;
    this.#records.set(work.request, {
      work,
      waitingSince: now,
      engine: undefined,
      preempted: false,
      stallMilliseconds: 0,
      firstTokenAt: undefined,
      endedAt: undefined,
      end: undefined,
    });
  }

  /**
   * Notes a dispatch.
   * @param now The present time.
   * @param dispatch The request, the engine, and since when the policy could
   * know that the adapter is there.
   * @returns What is to run.
   */
  dispatched(
    now: Instant,
    dispatch: {
      readonly request: RequestId;
      readonly engine: EngineId;
      readonly residentSince: Instant;
    },
  ): WorkloadRequest {
    const record = this.#waiting(dispatch.request);
    const since = record.waitingSince ?? now;
    const stalled = Math.min(now, dispatch.residentSince) - since;
    record.stallMilliseconds += Math.max(0, stalled);
    record.waitingSince = undefined;
    record.engine = dispatch.engine;
    return record.work;
  }

  /**
   * Notes that a dispatched request waits again.
   * @param now The present time.
   * @param request The request.
   * @returns What is to run.
   */
  returned(now: Instant, request: RequestId): WorkloadRequest {
    const record = this.#record(request);
    const dispatched = record.engine !== undefined;
    assertInvariant(dispatched, "returns_dispatched", () => request);
    record.engine = undefined;
    record.preempted = false;
    record.waitingSince = now;
    return record.work;
  }

  /**
   * Notes that a request gave its place up; its engine holds it on.
   * @param request The request.
   */
  preempted(request: RequestId): void {
    const record = this.#record(request);
    const runs = record.engine !== undefined && !record.preempted;
    assertInvariant(runs, "preempts_running", () => request);
    record.preempted = true;
  }

  /**
   * Notes that a request has a place again, at the engine that holds it.
   * @param request The request.
   * @param engine The engine.
   */
  resumed(request: RequestId, engine: EngineId): void {
    const record = this.#record(request);
    const there = record.preempted && record.engine === engine;
    assertInvariant(there, "resumes_where_it_ran", () => request);
    record.preempted = false;
  }

  /**
   * Tells whether a request gave its place up and has none again.
   * @param request The request.
   * @returns Whether it waits at its engine.
   */
  isPreempted(request: RequestId): boolean {
    return this.#record(request).preempted;
  }

  /**
   * Notes the first token.
   * @param now The present time.
   * @param request The request.
   */
  firstToken(now: Instant, request: RequestId): void {
    this.#record(request).firstTokenAt ??= now;
  }

  /**
   * Notes a refusal: all the wait counts, and no less than the target.
   * @param now The present time.
   * @param refusal The request and its target in milliseconds.
   */
  refused(
    now: Instant,
    { request, target }: {
      readonly request: RequestId;
      readonly target: number;
    },
  ): void {
    const record = this.#waiting(request);
    const waited = now - (record.waitingSince ?? now);
    record.stallMilliseconds += Math.max(waited, target);
    this.#end(now, record, "refused");
  }

  /**
   * Notes the end of a request that ran.
   * @param now The present time.
   * @param ended The request and how it ended.
   */
  ended(
    now: Instant,
    { request, end }: {
      readonly request: RequestId;
      readonly end: RequestEnd;
    },
  ): void {
    const record = this.#record(request);
    const ran = record.engine !== undefined;
    assertInvariant(ran, "ends_where_it_ran", () => request);
    this.#end(now, record, end);
  }

  /**
   * Tells whether a request's first token was sent.
   * @param request The request.
   * @returns Whether it was.
   */
  hasFirstToken(request: RequestId): boolean {
    return this.#record(request).firstTokenAt !== undefined;
  }

  /**
   * Finds a request that arrived.
   * @param request The request.
   * @returns What is noted of it.
   */
  find(request: RequestId): RequestRecord {
    return this.#record(request);
  }

  #end(now: Instant, record: RequestRecord, end: RequestEnd): void {
    const once = record.end === undefined;
    assertInvariant(once, "ends_once", () => record.work.request);
    record.end = end;
    record.endedAt = now;
    this.#open -= 1;
  }

  #record(request: RequestId): RequestRecord {
    const record = this.#records.get(request);
    assertInvariant(record !== undefined, "known_request", () => request);
    return record;
  }

  #waiting(request: RequestId): RequestRecord {
    const record = this.#record(request);
    const waits = record.waitingSince !== undefined && record.end === undefined;
    assertInvariant(waits, "runs_at_most_once", () => request);
    return record;
  }
}
