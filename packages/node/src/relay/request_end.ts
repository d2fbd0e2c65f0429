import type {
  ContentDigest,
  Duration,
  RegisteredServer,
} from "@foxtailwind/core";
import type { LogFields } from "../logging/component_logger.ts";
import type { AnswerFraming } from "./answer_framing.ts";
import type { CallStage } from "./backend_call.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { ResumedOrigin } from "./streams/resumption.ts";
import type { PlacementAnswer } from "./placement.ts";
import { roundOptional } from "./round_optional.ts";

/** Facts about a request that has ended. */
export interface RequestEnd {
  readonly outcome: string;
  /** The last server that it was sent to, as registered then. */
  readonly server: RegisteredServer | undefined;
  /** What began the stream, if it has begun and may be resumed. */
  readonly origin: ResumedOrigin | undefined;
  readonly sends: number;
  /** The number of sends that may have run the request. */
  readonly possibleRuns: number;
  /** How the end of the last answer's body was marked. */
  readonly framing: AnswerFraming | undefined;
  /** The content or part for which it was refused, if so. */
  readonly quarantined: ContentDigest | undefined;
  /** Why the last call to a server broke, if it did. */
  readonly callFailure: string | undefined;
  /** How far that call had come. */
  readonly callStage: CallStage | undefined;
  /** Time from the last answer's first bytes to the end of a broken call. */
  readonly bodyDuration: Duration | undefined;
  /** The engines that were asked for a place, and their answers. */
  readonly placeAnswers: readonly PlacementAnswer[];
  /** Time until a place was likely, if rate limits of servers left none. */
  readonly limitWait: Duration | undefined;
  /** Time from arrival until a server was found. */
  readonly placementTime: Duration | undefined;
  /** Time from the last send to the head of the answer. */
  readonly timeToHead: Duration | undefined;
  /** Time from the last send to the first byte of the answer's body. */
  readonly timeToFirstByte: Duration | undefined;
  readonly duration: Duration;
  /** How long the node had been stopping when the request arrived. */
  readonly timeSinceStop: Duration | undefined;
  /** The version of the configuration in force at the end. */
  readonly configuration: number | undefined;
}

/**
 * Formats what decided the outcome of an ended request as fields of a log line.
 * @param request The request.
 * @param end Facts about its end.
 * @returns The fields; times are in milliseconds.
 */
export function formatRequestEnd(
  { caller, route, service, account, response, content }: RoutedRequest,
  end: RequestEnd,
): LogFields {
  const placeAnswers = end.placeAnswers.map(formatPlaceAnswer).join(" ");
  return {
    request: caller.id,
    route: route.name,
    service: service.id,
    account: account?.id,
    outcome: end.outcome,
    status: response.statusCode,
    server: end.server?.id,
    software: end.server?.software,
    begun_with: end.origin?.software,
    resumes: caller.resumes,
    resumed_after: caller.lastEventId,
    adapter: caller.use?.adapter,
    sends: end.sends,
    runs: end.possibleRuns,
    framing: end.framing,
    broke: end.callFailure,
    broke_at: end.callStage,
    quarantined: end.quarantined,
    content: includesContent(end) ? content.digest : undefined,
    parts: includesContent(end) ? caller.sharedParts?.join(" ") : undefined,
    head_after: includesContent(end)
      ? roundOptional(end.timeToHead)
      : undefined,
    ran_for: roundOptional(end.bodyDuration),
    asked: placeAnswers === "" ? undefined : placeAnswers,
    limited_for: roundOptional(end.limitWait),
    placed_after: roundOptional(end.placementTime),
    first_after: roundOptional(end.timeToFirstByte),
    took: roundOptional(end.duration),
    patience: caller.patience,
    stopping_for: roundOptional(end.timeSinceStop),
    configuration: end.configuration,
  };
}

/**
 * The digest is computed only for lines that are compared with others by
 * content.
 */
function includesContent({ callFailure: broke, outcome }: RequestEnd): boolean {
  return broke !== undefined || outcome === "quarantined";
}

function formatPlaceAnswer({ engine, owner, answer }: PlacementAnswer): string {
  return `${engine}@${owner ?? "none"}:${answer}`;
}
