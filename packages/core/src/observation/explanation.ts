import {
  type AdapterKey,
  adapterKey,
  type ClassId,
  type Duration,
  elapsed,
  type Instant,
  type RequestId,
  type TenantId,
} from "../shared/mod.ts";
import { describeEvent } from "./describe_event.ts";
import type { RequestEvent } from "./request_event.ts";
import type { RequestTrace } from "./request_trace.ts";

/** A step of an explanation. */
export interface ExplainedStep {
  /** The time since the node first saw the request. */
  readonly after: Duration;
  readonly kind: RequestEvent["kind"];
  readonly sentence: string;
}

/** The history of a request as seen by one node. */
export interface Explanation {
  readonly request: RequestId;
  readonly class?: ClassId;
  readonly tenant?: TenantId;
  readonly adapter?: AdapterKey;
  readonly open: boolean;
  /** The time since the node first saw the request. */
  readonly age: Duration;
  readonly steps: readonly ExplainedStep[];
  /** The number of steps that were not kept. */
  readonly leftOut: number;
  readonly frames: number;
  readonly tokens: number;
  readonly firstFrameAfter?: Duration;
  readonly lastFrameAfter?: Duration;
}

/**
 * Builds the explanation of a request from its trace.
 * @param trace The trace.
 * @param now The current time.
 * @returns The explanation.
 */
export function explainTrace(trace: RequestTrace, now: Instant): Explanation {
  const { startedAt, firstFrameAt, lastFrameAt } = trace;
  return {
    request: trace.request,
    ...(trace.class !== undefined && { class: trace.class }),
    ...(trace.tenant !== undefined && { tenant: trace.tenant }),
    ...(trace.adapter !== undefined && { adapter: adapterKey(trace.adapter) }),
    open: !trace.ended,
    age: elapsed(startedAt, now),
    steps: trace.steps.map(({ at, event }) => ({
      after: elapsed(startedAt, at),
      kind: event.kind,
      sentence: describeEvent(event),
    })),
    leftOut: trace.leftOut,
    frames: trace.frames,
    tokens: trace.tokens,
    ...(firstFrameAt !== undefined &&
      { firstFrameAfter: elapsed(startedAt, firstFrameAt) }),
    ...(lastFrameAt !== undefined &&
      { lastFrameAfter: elapsed(startedAt, lastFrameAt) }),
  };
}
