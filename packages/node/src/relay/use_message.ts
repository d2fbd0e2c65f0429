import {
  adapterId,
  type BackendServerId,
  clientAccountId,
  milliseconds,
  modelId,
} from "@foxtailwind/core";
import {
  type AdapterGrant,
  type AdapterUse,
  GrantOutcome,
} from "@foxtailwind/protocol";
import {
  encodeCount,
  encodeDuration,
  encodeSignedDuration,
} from "./encoded_numbers.ts";
import type { QueueTerms, UseAnswer, UseRequest } from "./engine_use.ts";
import { decodeStart } from "./start_message.ts";

/**
 * Encodes a request for a use.
 * @param engine The engine.
 * @param request The request.
 * @returns The message to the engine's owner.
 */
export function encodeUse(
  engine: BackendServerId,
  request: UseRequest,
): AdapterUse {
  const { queueing } = request;
  return {
    engine,
    model: request.model,
    adapter: request.adapter ?? "",
    minimumVersion: request.minimumVersion,
    readingMilliseconds: encodeDuration(request.prefillTime),
    timeLeftMilliseconds: encodeSignedDuration(request.timeLeft),
    needsBreak: request.needsBreak,
    priority: queueing?.priority ?? 0,
    account: queueing?.account ?? "",
    workTokens: encodeCount(queueing?.work ?? 0),
    longestWaitMilliseconds: queueing === undefined
      ? 0
      : Math.max(1, encodeDuration(queueing.longestWait)),
    onlyInTime: queueing?.onlyInTime ?? false,
  };
}

/**
 * Decodes a peer's request for a use.
 * @param message The message.
 * @returns The request.
 */
export function decodeUse(message: AdapterUse): UseRequest {
  const { adapter, longestWaitMilliseconds } = message;
  return {
    model: modelId(message.model),
    ...(adapter === "" ? {} : { adapter: adapterId(adapter) }),
    minimumVersion: message.minimumVersion,
    prefillTime: milliseconds(message.readingMilliseconds),
    timeLeft: milliseconds(message.timeLeftMilliseconds),
    needsBreak: message.needsBreak,
    ...(longestWaitMilliseconds === 0
      ? {}
      : { queueing: decodeQueueing(message) }),
  };
}

/**
 * Decodes the answer of an engine's owner.
 * @param grant The message.
 * @param endSignal Aborted when the use ends with the engine's start.
 * @param release Ends the use.
 * @returns The answer. What isn't granted is released.
 */
export function decodeAnswer(
  grant: AdapterGrant,
  endSignal: AbortSignal,
  release: () => void,
): UseAnswer {
  const { retryAfterMilliseconds } = grant;
  switch (grant.outcome) {
    case GrantOutcome.GRANTED:
      return {
        kind: "granted",
        version: grant.version,
        start: decodeStart(grant.start),
        endSignal,
        release,
      };
    case GrantOutcome.NO_ROOM:
      release();
      return {
        kind: "no_room",
        ...(retryAfterMilliseconds === 0
          ? {}
          : { retryAfter: milliseconds(retryAfterMilliseconds) }),
      };
    case GrantOutcome.NOT_OWNER:
    case GrantOutcome.GRANT_OUTCOME_UNSPECIFIED:
    case GrantOutcome.UNRECOGNIZED:
      release();
      return { kind: "not_owner" };
  }
}

function decodeQueueing(message: AdapterUse): QueueTerms {
  const { priority, account, workTokens, onlyInTime } = message;
  return {
    priority,
    account: account === "" ? undefined : clientAccountId(account),
    work: workTokens,
    longestWait: milliseconds(message.longestWaitMilliseconds),
    onlyInTime,
  };
}
