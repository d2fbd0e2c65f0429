import type {
  AdapterReference,
  ClassId,
  Instant,
  RequestId,
  TenantId,
} from "../shared/mod.ts";
import type { HistogramRow } from "./histogram_row.ts";
import type { RequestEvent } from "./request_event.ts";

/** Most steps kept of one request; the last ones beyond it are counted only. */
export const STEP_LIMIT = 24;

/** A step of a request, with the time at which it happened here. */
export interface TracedStep {
  readonly at: Instant;
  readonly event: RequestEvent;
}

/** What one node saw of one request. Frames are counted, not kept. */
export class RequestTrace {
  readonly request: RequestId;
  readonly startedAt: Instant;
  class: ClassId | undefined;
  tenant: TenantId | undefined;
  adapter: AdapterReference | undefined;
  /** Where its times are counted. */
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
   * @param startedAt When the first event of it was seen.
   * @param row Where its times are counted until its class is known.
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

  /** How many steps were not kept. */
  get leftOut(): number {
    return this.#leftOut;
  }

  /**
   * Keeps a step; the end always, others while there is room.
   * @param at When it happened.
   * @param event What happened.
   */
  addStep(at: Instant, event: RequestEvent): void {
    const room = this.#steps.length < STEP_LIMIT;
    if (room || event.kind === "ended") this.#steps.push({ at, event });
    else this.#leftOut += 1;
  }
}
