import type { BackendServerId, Duration } from "@foxtailwind/core";
import type { LogFields } from "../logging/part_logger.ts";
import type { AnswerFraming } from "./answer_framing.ts";
import type { ReadRequest } from "./read_request.ts";
import type { PlaceAnswer } from "./request_placer.ts";

/** What is known of a request once it has ended. */
export interface RequestEnd {
  readonly outcome: string;
  /** The last server that it was sent to. */
  readonly server: BackendServerId | undefined;
  readonly sends: number;
  /** Sends after which it may have run. */
  readonly runs: number;
  /** How the last answer told its end. */
  readonly framing: AnswerFraming | undefined;
  /** What broke the last call to a server, where it did not end in order. */
  readonly broke: string | undefined;
  /** From the first bytes of the last answer to the end of its call. */
  readonly ranFor: Duration | undefined;
  readonly asked: readonly PlaceAnswer[];
  /** Until a place was likely, where servers' limits left none. */
  readonly limitedFor: Duration | undefined;
  readonly placedAfter: Duration | undefined;
  readonly firstAfter: Duration | undefined;
  readonly took: Duration;
  /** How long the node had been stopping when the request came. */
  readonly stoppingFor: Duration | undefined;
  /** The configuration in force at the end. */
  readonly configuration: number | undefined;
}

/**
 * Describes a request that has ended for the log: what decided its outcome.
 * @param request The request.
 * @param end What is known of its end.
 * @returns The fields of its line; times in milliseconds.
 */
export function describeEnd(
  { caller, route, service, response, content }: ReadRequest,
  end: RequestEnd,
): LogFields {
  const asked = end.asked.map(describeAnswer).join(" ");
  return {
    request: caller.id,
    route: route.name,
    service: service.id,
    outcome: end.outcome,
    status: response.statusCode,
    server: end.server,
    adapter: caller.use?.adapter,
    sends: end.sends,
    runs: end.runs,
    framing: end.framing,
    broke: end.broke,
    content: needsContent(end) ? content.digest : undefined,
    ran_for: round(end.ranFor),
    asked: asked === "" ? undefined : asked,
    limited_for: round(end.limitedFor),
    placed_after: round(end.placedAfter),
    first_after: round(end.firstAfter),
    took: round(end.took),
    patience: caller.patience,
    stopping_for: round(end.stoppingFor),
    configuration: end.configuration,
  };
}

/** Only these lines are compared with others by what was asked for. */
function needsContent({ broke, outcome }: RequestEnd): boolean {
  return broke !== undefined || outcome === "quarantined";
}

function describeAnswer({ engine, owner, answer }: PlaceAnswer): string {
  return `${engine}@${owner ?? "none"}:${answer}`;
}

function round(duration: Duration | undefined): number | undefined {
  return duration === undefined ? undefined : Math.round(duration);
}
