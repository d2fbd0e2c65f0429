import { RELAY_SENTENCE } from "@foxtailwind/core";
import type { EndedRequest, Finding } from "./ended_request.ts";
import { type LogLine, readNumber, readText } from "./log_line.ts";

/** The answer of an engine's owner that was asked to place the request. */
interface PlacementReply {
  readonly engine: string;
  readonly owner: string;
  readonly answer: string;
}

/**
 * Explains a wait for servers that announce limits.
 * @param request The request.
 * @returns The finding, or `undefined` if no limits made it wait.
 */
export function explainLimits({ endLine }: EndedRequest): Finding | undefined {
  const limitedFor = readNumber(endLine, "limited_for");
  if (limitedFor === 0) return undefined;
  return {
    cause:
      "All servers that could run it announce limits; its turn was likely " +
      `after ${limitedFor} ms.`,
    evidence: [],
  };
}

/**
 * Explains why no engine had a free place, or only late.
 * @param request The request.
 * @returns The finding.
 */
export function explainPlacement(request: EndedRequest): Finding {
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

function parsePlacementReplies(endLine: LogLine): readonly PlacementReply[] {
  return readText(endLine, "asked").split(" ").flatMap((text) => {
    const [, engine, owner, answer] = /^(.+)@(.+):(.+)$/.exec(text) ?? [];
    return engine === undefined || owner === undefined || answer === undefined
      ? []
      : [{ engine, owner, answer }];
  });
}
