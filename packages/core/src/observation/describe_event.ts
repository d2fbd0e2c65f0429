import type { AdapterReference, Failure } from "../shared/mod.ts";
import { adapterKey } from "../shared/mod.ts";
import type { RequestEvent } from "./request_event.ts";

/**
 * Describes a request event in a sentence.
 * @param event The event.
 * @returns The sentence.
 */
export function describeEvent(event: RequestEvent): string {
  switch (event.kind) {
    case "arrived":
      return `Arrived for ${
        adapterKey(event.adapter)
      }, class ${event.class}, ` +
        `tenant ${event.tenant}.`;
    case "routed":
      return `Attempt ${event.attempt} routed to ${event.engine}, controlled ` +
        `by ${event.node}: ${withSpaces(event.reason)}.`;
    case "queued":
      return `Queued at ${event.engine} behind ${event.ahead} others.`;
    case "load_started":
      return describeLoad(event.adapter, event.engine) +
        describeEviction(event.evicted);
    case "load_ended":
      return `The load at ${event.engine} ${
        event.loaded ? "succeeded" : "failed"
      }.`;
    case "dispatched":
      return `Dispatched to ${event.engine} after ${
        formatMilliseconds(event.loadStall)
      } ms for its adapter to load and ${
        formatMilliseconds(event.queueWait)
      } ms for a place in the batch.`;
    case "frame":
      return `Received ${event.tokens} tokens.`;
    case "preempted":
      return "Gave its place in the batch up to more urgent work.";
    case "attempt_failed":
      return `Attempt ${event.attempt} failed: ${
        describeFailure(event.failure)
      }`;
    case "ended":
      return event.failure === undefined
        ? `Answered whole with ${event.completionTokens} tokens.`
        : `Ended without an answer: ${describeFailure(event.failure)}`;
  }
}

function describeLoad(adapter: AdapterReference, engine: string): string {
  return `Load of ${adapterKey(adapter)} started at ${engine}.`;
}

function describeEviction(evicted: AdapterReference | undefined): string {
  return evicted === undefined ? "" : ` Evicted ${adapterKey(evicted)} for it.`;
}

function describeFailure(failure: Failure): string {
  return `${withSpaces(failure.reason)} at step ${
    withSpaces(failure.step)
  }, facing ` +
    `${failure.peer} (${withSpaces(failure.outcome)}). ${failure.message}`;
}

function withSpaces(identifier: string): string {
  return identifier.replaceAll("_", " ");
}

function formatMilliseconds(milliseconds: number): string {
  return milliseconds.toFixed(1);
}
