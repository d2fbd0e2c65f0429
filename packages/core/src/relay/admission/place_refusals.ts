import {
  type BackendServerId,
  type Duration,
  milliseconds,
} from "../../shared/mod.ts";

/**
 * Callers that are refused together are told times that differ by up to this
 * part of their wait, so that they don't come back together.
 */
const RETRY_SPREAD = 0.5;

/** An engine that refused a request for lack of room. */
export interface PlaceRefusal {
  readonly engine: BackendServerId;
  /** When it would have room. */
  readonly retryAfter: Duration;
}

/**
 * Chooses the engine whose queue a request joins although it will be late.
 * @param refusals The engines that can't begin it in time.
 * @param longestWait How long the request waits for a place.
 * @returns The engine that has room first, or `undefined` if none has before
 * the request gives up.
 */
export function chooseQueue(
  refusals: readonly PlaceRefusal[],
  longestWait: Duration,
): BackendServerId | undefined {
  const first = firstRoom(refusals);
  return first !== undefined && first.retryAfter < longestWait
    ? first.engine
    : undefined;
}

/**
 * Returns when the first of several engines would have room.
 * @param refusals The engines.
 * @returns The wait, or `undefined` if no engine has named one.
 */
export function waitForRoom(
  refusals: readonly PlaceRefusal[],
): Duration | undefined {
  return firstRoom(refusals)?.retryAfter;
}

/**
 * Spreads the times at which refused callers come back.
 * @param retryAfter When there would be room.
 * @param random A random number from 0 to 1.
 * @returns When one caller may come back; never earlier than that.
 */
export function spreadRetry(retryAfter: Duration, random: number): Duration {
  return milliseconds(retryAfter * (1 + RETRY_SPREAD * random));
}

function firstRoom(
  refusals: readonly PlaceRefusal[],
): PlaceRefusal | undefined {
  return refusals.toSorted((left, right) =>
    left.retryAfter - right.retryAfter
  )[0];
}
