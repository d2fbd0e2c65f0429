import { RELAY_SENTENCE } from "@foxtailwind/core";
import { explainRefusal } from "./explain_refusal.ts";
import { type LogLine } from "./log_line.ts";

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

interface EndedRequest {
  readonly endLine: LogLine;
  /** The lines from some time before the request's arrival until its end. */
  readonly nearbyLines: readonly LogLine[];
  readonly arrivedAt: number;
}

interface Finding {
  readonly cause: string;
  readonly evidence: readonly LogLine[];
}

/** The answer of an engine's owner that was asked to place the request. */
interface PlacementReply {
  readonly engine: string;
  readonly owner: string;
  readonly answer: string;
}

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

function explainLimits({ endLine }: EndedRequest): Finding | undefined {
  const limitedFor = readNumber(endLine, "limited_for");
  if (limitedFor === 0) return undefined;
  return {
    cause:
      "All servers that could run it announce limits; its turn was likely " +
      `after ${limitedFor} ms.`,
    evidence: [],
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

/** Explains why no engine had a free place, or only late. */
function explainPlacement(request: EndedRequest): Finding {
  const limits = explainLimits(request);
  if (limits !== undefined) return limits;
  const replies = parsePlacementReplies(request.endLine);
  const engines = new Set(replies.map((reply) => reply.engine));
  const isOfEngine = (line: LogLine) => engines.has(readText(line, "engine"));
  const newOwners = request.nearbyLines.filter((line) =>
    line.sentence === RELAY_SENTENCE.newOwner && isOfEngine(line) &&
    line.time + readNumber(line, "wait") > request.arrivedAt
  );
  const [firstNewOwner] = newOwners;
  if (firstNewOwner !== undefined) {
    return { cause: describeNewOwner(firstNewOwner), evidence: newOwners };
  }
  const unreachableEngines = request.nearbyLines.filter((line) =>
    line.sentence === RELAY_SENTENCE.outOfReach && isOfEngine(line)
  );
  const [engine] = unreachableEngines;
  if (engine !== undefined) {
    return {
      cause: `Engine ${readText(engine, "engine")} did not answer its owner.`,
      evidence: unreachableEngines,
    };
  }
  return explainPlacementReplies(request, replies);
}

function explainPlacementReplies(
  request: EndedRequest,
  replies: readonly PlacementReply[],
): Finding {
  const refused = replies.filter(({ answer }) =>
    answer !== "granted" && answer !== "withdrawn"
  );
  const granted = replies.find(({ answer }) => answer === "granted");
  if (refused.length === 0 && granted !== undefined) {
    return {
      cause: `Engine ${granted.engine} had to load its adapter first.`,
      evidence: [],
    };
  }
  const logFailures = request.nearbyLines.filter((line) =>
    line.sentence === RELAY_SENTENCE.logFailed
  );
  const unowned = refused.find((reply) =>
    reply.answer === "no_owner" || reply.answer === "not_owner"
  );
  if (unowned !== undefined) {
    return {
      cause: logFailures.length > 0
        ? `Engine ${unowned.engine} had no owner that could be found while ` +
          "the platform's log failed."
        : `Engine ${unowned.engine} had no owner that could be found.`,
      evidence: logFailures,
    };
  }
  const unreachable = refused.find((reply) => reply.answer === "unreachable");
  if (unreachable !== undefined) {
    return {
      cause:
        `Node ${unreachable.owner}, the owner of engine ${unreachable.engine}, ` +
        "did not answer in time.",
      evidence: logFailures,
    };
  }
  return {
    cause: replies.length > 0
      ? "Everything on the engines that were asked was in use."
      : "No engine was known that could be asked.",
    evidence: [],
  };
}

function describeNewOwner(line: LogLine): string {
  const wait = readNumber(line, "wait");
  const head = `Engine ${readText(line, "engine")} had a new owner, node ` +
    readText(line, "owner");
  return wait > 0
    ? `${head}, which may not send it orders for ${wait} ms.`
    : `${head}.`;
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

function parsePlacementReplies(endLine: LogLine): readonly PlacementReply[] {
  return readText(endLine, "asked").split(" ").flatMap((text) => {
    const [, engine, owner, answer] = /^(.+)@(.+):(.+)$/.exec(text) ?? [];
    return engine === undefined || owner === undefined || answer === undefined
      ? []
      : [{ engine, owner, answer }];
  });
}

/** Reads how a request ended, or why it was refused. */
function readOutcome(line: LogLine): string {
  return readText(
    line,
    line.sentence === RELAY_SENTENCE.requestRefused ? "refusal" : "outcome",
  );
}

function readText(line: LogLine, field: string): string {
  return String(line.fields[field] ?? "");
}

function readNumber(line: LogLine, field: string): number {
  return Number(line.fields[field] ?? 0);
}
