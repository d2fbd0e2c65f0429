import type {
  AdapterReference,
  ClassId,
  Instant,
  RequestId,
  TenantId,
} from "../shared/mod.ts";
import type { HistogramRow } from "./histogram_row.ts";
import type { RequestEvent } from "./request_event.ts";

/** The maximum number of steps kept per request; later ones are counted. */
export const STEP_LIMIT = 24;

/** A step of a request, with the time at which this node recorded it. */
export interface TracedStep {
  readonly at: Instant;
  readonly event: RequestEvent;
}

/** One node's record of a request. Frames are counted but not kept as steps. */
export class RequestTrace {
  readonly request: RequestId;
  readonly startedAt: Instant;
  class: ClassId | undefined;
  tenant: TenantId | undefined;
  adapter: AdapterReference | undefined;
  /** The row that its durations are recorded in. */
  row: HistogramRow;
  arrivedAt: Instant | undefined;
  firstFrameAt: Instant | undefined;
  lastFrameAt: Instant | undefined;
  frames = 0;
  tokens = 0;
  ended = false;
  #steps: TracedStep[] = [];
  #leftOut = 0;

  /**
   * @param request The request.
   * @param startedAt When its first event was seen.
   * @param row The row to record durations in until its class is known.
   */
  constructor(request: RequestId, startedAt: Instant, row: HistogramRow) {
    this.request = request;
    this.startedAt = startedAt;
    this.row = row;
  }

  /** The steps kept, oldest first. */
  get steps(): readonly TracedStep[] {
    return this.#steps;
  }

  /** The number of steps that were not kept. */
  get leftOut(): number {
    return this.#leftOut;
  }

  /**
   * Keeps a step up to the limit; the end of a request is always kept.
   * @param at When it happened.
   * @param event What happened.
   */
  addStep(at: Instant, event: RequestEvent): void {
    const hasRoom = this.#steps.length < STEP_LIMIT;
    if (hasRoom || event.kind === "ended") this.#steps.push({ at, event });
    else this.#leftOut += 1;
  }
}
