import {
  type ClientAccount,
  type Duration,
  type EstimatedRequest,
  type Instant,
  instant,
  later,
  milliseconds,
  type RelayService,
  type Route,
} from "@foxtailwind/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest } from "./caller_wire.ts";
import { type PlannedStop, workDeadline } from "./relay_stop.ts";
import type { ResumedOrigin } from "./streams/resumption.ts";
import type { RequestContent } from "./crashes/request_content.ts";

/** A caller's request that has been read completely and has a route. */
export interface RoutedRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly service: RelayService;
  /** What began the stream that it resumes, if it does. */
  readonly origin?: ResumedOrigin;
  /** The client account that it belongs to, if any. */
  readonly account: ClientAccount | undefined;
  /** What was taken from the account's quota for it. */
  readonly quotaCost: number;
  readonly body: Buffer | undefined;
  readonly content: RequestContent;
  readonly arrivedAt: Instant;
}

/**
 * Returns how long a request may take: the time limit of its route, or the
 * caller's timeout if that is shorter.
 * @param request The route and caller of the request.
 * @returns The time limit, from the request's arrival.
 */
export function requestTimeLimit(
  { route, caller }: Pick<RoutedRequest, "route" | "caller">,
): Duration {
  const { timeLimit } = route;
  return milliseconds(Math.min(timeLimit, caller.patience ?? timeLimit));
}

/**
 * Returns what a request's duration is estimated from.
 * @param request The route and caller of the request.
 * @returns The facts.
 */
export function estimatedRequest(
  { route, caller }: Pick<RoutedRequest, "route" | "caller">,
): EstimatedRequest {
  return {
    route: route.name,
    outputTokens: caller.use?.outputTokens ?? 0,
    timeLimit: requestTimeLimit({ route, caller }),
  };
}

/**
 * Returns when a request must have its final answer.
 * @param request The request.
 * @param stop The planned stop of this node, if one is in progress: no server
 * is given more time than the node has left.
 * @returns The deadline.
 */
export function requestDeadline(
  request: Pick<RoutedRequest, "route" | "caller" | "arrivedAt">,
  stop: PlannedStop | undefined,
): Instant {
  const deadline = later(request.arrivedAt, requestTimeLimit(request));
  return stop === undefined
    ? deadline
    : instant(Math.min(deadline, workDeadline(stop)));
}

/**
 * Checks whether a request may be sent to another server although one may
 * already have run it.
 * @param request The request.
 * @returns Whether its route allows that.
 */
export function mayRunAgain({ route }: RoutedRequest): boolean {
  return route.streams ? route.resumable : route.repeatable;
}

/**
 * Returns the priority of a request.
 * @param request The route and account of the request.
 * @returns The priority; 0 is the most urgent.
 */
export function requestPriority(
  { route, account }: Pick<RoutedRequest, "route" | "account">,
): number {
  return account?.priority ?? route.priority;
}
