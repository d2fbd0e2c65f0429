import { RELAY_SENTENCE } from "@foxtailwind/core";
import type { EndedRequest, Finding } from "./ended_request.ts";
import { explainLimits, explainPlacement } from "./explain_placement.ts";
import { explainRefusal } from "./explain_refusal.ts";
import { type LogLine, readNumber, readText } from "./log_line.ts";

/** The explanation of a request's outcome, based on logs. */
export interface LogExplanation {
  readonly request: string;
  /** The node that accepted the request. */
  readonly node: string;
  readonly outcome: string;
  readonly status: number;
  readonly tookMilliseconds: number;
  /** Why the request ended with this outcome. */
  readonly cause: string;
  /** The log lines that support the cause, sorted by time. */
  readonly evidence: readonly LogLine[];
}

/** How long before a request's arrival a cause may have occurred. */
const LOOK_BACK_MILLISECONDS = 10_000;
/** Requests that a server lost within this time share one cause. */
const CORRELATION_MILLISECONDS = 2_000;

/** The lines that a request ends with. */
const END_SENTENCES: ReadonlySet<string> = new Set([
  RELAY_SENTENCE.requestEnded,
  RELAY_SENTENCE.requestRefused,
]);

/**
 * Explains from logs why a request ended with its outcome.
 * @param lines The lines of all nodes, sorted by time.
 * @param request The request's id.
 * @returns The explanation, or `undefined` if no line reports the request's
 * end.
 */
export function explainRequest(
  lines: readonly LogLine[],
  request: string,
): LogExplanation | undefined {
  const isOfRequest = (line: LogLine) => line.fields["request"] === request;
  const endLine = lines.find((line) =>
    END_SENTENCES.has(line.sentence) && isOfRequest(line)
  );
  if (endLine === undefined) return undefined;
  const took = readNumber(endLine, "took");
  const arrivedAt = endLine.time - took;
  const nearbyLines = lines.filter((line) =>
    line.time >= arrivedAt - LOOK_BACK_MILLISECONDS &&
    line.time <= endLine.time + CORRELATION_MILLISECONDS
  );
  const finding = findCause({ endLine, nearbyLines, arrivedAt });
  const ownLines = nearbyLines.filter((line) => isOfRequest(line));
  const evidence = new Set([...finding.evidence, ...ownLines]);
  return {
    request,
    node: endLine.source,
    outcome: readOutcome(endLine),
    status: readNumber(endLine, "status"),
    tookMilliseconds: took,
    cause: finding.cause,
    evidence: [...evidence].toSorted((left, right) => left.time - right.time),
  };
}

function findCause(request: EndedRequest): Finding {
  const { endLine } = request;
  const outcome = readOutcome(endLine);
  if (endLine.sentence === RELAY_SENTENCE.requestRefused) {
    return { cause: explainRefusal(endLine, outcome), evidence: [] };
  }
  switch (outcome) {
    case "answered":
      return explainLatency(request);
    case "lost":
    case "broken_stream":
    case "server_failure":
      return explainServerFailure(request);
    case "quarantined":
      return explainQuarantine(request);
    case "unknown_key":
    case "stale_configuration":
      return { cause: explainRefusal(endLine, outcome), evidence: [] };
    case "no_engine":
    case "not_run_in_time":
      return explainPlacement(request);
    case "no_server":
      return explainLimits(request) ?? explainNoServer(request);
    default:
      return readNumber(endLine, "sends") > 0
        ? explainServerFailure(request)
        : explainPlacement(request);
  }
}

function explainQuarantine(
  { endLine, nearbyLines }: EndedRequest,
): Finding {
  const ownContent = readText(endLine, "content");
  const content = readText(endLine, "quarantined") || ownContent;
  const shared = content === ownContent
    ? "of its content"
    : "with a part of its prompt";
  return {
    cause: `Requests ${shared}, ${content}, have crashed servers, ` +
      "and all nodes refuse them.",
    evidence: nearbyLines.filter((line) =>
      line.sentence === RELAY_SENTENCE.quarantined &&
      readText(line, "content") === content
    ),
  };
}

function explainLatency(request: EndedRequest): Finding {
  const { endLine } = request;
  const placedAfter = readNumber(endLine, "placed_after");
  const firstByteAfter = readNumber(endLine, "first_after");
  if (placedAfter > firstByteAfter) {
    const { cause, evidence } = explainPlacement(request);
    return {
      cause: `It waited ${placedAfter} ms for a place. ${cause}`,
      evidence,
    };
  }
  return {
    cause:
      `Its server ${readText(endLine, "server")} sent the first bytes after ` +
      `${firstByteAfter} ms.`,
    evidence: [],
  };
}

/** Explains why a server's response was incomplete or a failure. */
function explainServerFailure(request: EndedRequest): Finding {
  const { endLine, nearbyLines } = request;
  const server = readText(endLine, "server");
  if (readText(endLine, "outcome") === "server_failure") {
    return { cause: `Server ${server} answered with a failure.`, evidence: [] };
  }
  const departures = nearbyLines.filter((line) =>
    (line.sentence === RELAY_SENTENCE.serverLeft ||
        line.sentence === RELAY_SENTENCE.serverLeaves) &&
      readText(line, "server") === server ||
    line.sentence === RELAY_SENTENCE.outOfReach &&
      readText(line, "engine") === server
  );
  const otherLosses = nearbyLines.filter((line) =>
    line.sentence === RELAY_SENTENCE.requestEnded && line !== endLine &&
    readText(line, "server") === server &&
    Math.abs(line.time - endLine.time) <= CORRELATION_MILLISECONDS
  );
  if (departures.length > 0 || otherLosses.length > 0) {
    return {
      cause:
        `Server ${server} ended or stopped answering: ${otherLosses.length} ` +
        "more requests were lost there at that time.",
      evidence: [...departures, ...otherLosses],
    };
  }
  return {
    cause: `Server ${server} sent no complete answer, to this request only.`,
    evidence: [],
  };
}

function explainNoServer(
  { endLine, nearbyLines }: EndedRequest,
): Finding {
  const departures = nearbyLines.filter((line) =>
    line.sentence === RELAY_SENTENCE.serverLeft ||
    line.sentence === RELAY_SENTENCE.serverLeaves
  );
  return {
    cause: `No server of service ${
      readText(endLine, "service")
    } could be chosen.`,
    evidence: departures,
  };
}

/** Reads how a request ended, or why it was refused. */
function readOutcome(line: LogLine): string {
  return readText(
    line,
    line.sentence === RELAY_SENTENCE.requestRefused ? "refusal" : "outcome",
  );
}
