import {
  type Duration,
  type Instant,
  instant,
  later,
  milliseconds,
  type RelayService,
  type Route,
} from "@foxtailwind/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest } from "./caller_wire.ts";
import { lastMoment, type PlannedStop } from "./relay_stop.ts";
import type { RequestContent } from "./request_content.ts";

/** A caller's request that has been read whole and has a route. */
export interface ReadRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly service: RelayService;
  readonly body: Buffer | undefined;
  readonly content: RequestContent;
  readonly arrivedAt: Instant;
}

/**
 * Tells how long a request may take: its route's limit, or less where its
 * caller waits less.
 * @param request What is known of it.
 * @returns The longest time, from its arrival.
 */
export function longestTime(
  { route, caller }: Pick<ReadRequest, "route" | "caller">,
): Duration {
  const { timeLimit } = route;
  return milliseconds(Math.min(timeLimit, caller.patience ?? timeLimit));
}

/**
 * Tells when a request has to have its final answer.
 * @param request The request.
 * @param stop The stop of this node that is in progress, if any: no server is
 * given time that the node does not have.
 * @returns The end of its time.
 */
export function endOf(
  request: Pick<ReadRequest, "route" | "caller" | "arrivedAt">,
  stop: PlannedStop | undefined,
): Instant {
  const end = later(request.arrivedAt, longestTime(request));
  return stop === undefined ? end : instant(Math.min(end, lastMoment(stop)));
}

/**
 * Tells whether a request may run at another server though it may have run at
 * one before.
 * @param request The request.
 * @returns Whether its route allows it.
 */
export function mayRunAgain({ route }: ReadRequest): boolean {
  return route.streams ? route.resumable : route.repeatable;
}
