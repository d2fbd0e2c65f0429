import { RELAY_SENTENCE } from "@foxtailwind/core";
import { type LogLine } from "./log_line.ts";

/** What the logs tell of a request. */
export interface LogExplanation {
  readonly request: string;
  /** The node that took it. */
  readonly node: string;
  readonly outcome: string;
  readonly status: number;
  readonly tookMilliseconds: number;
  /** Why it ended so, in one sentence. */
  readonly cause: string;
  /** The lines that show it, in order of time. */
  readonly evidence: readonly LogLine[];
}

/** How far before a request's arrival a cause may lie, in milliseconds. */
const LOOK_BACK = 10_000;
/** Requests that a server lost so near to each other have one cause. */
const TOGETHER = 2_000;

interface Case {
  readonly end: LogLine;
  /** Lines from a while before the request's arrival to its end. */
  readonly around: readonly LogLine[];
  readonly arrivedAt: number;
}

interface Finding {
  readonly cause: string;
  readonly evidence: readonly LogLine[];
}

/** One engine that was asked for a place, as the request's line names it. */
interface Asked {
  readonly engine: string;
  readonly owner: string;
  readonly answer: string;
}

/**
 * Finds out from logs why a request ended as it did.
 * @param lines Lines of all nodes, in order of time.
 * @param request The request's id.
 * @returns What they tell, or nothing where no line says that it ended.
 */
export function explainRequest(
  lines: readonly LogLine[],
  request: string,
): LogExplanation | undefined {
  const isOwn = (line: LogLine) => line.fields["request"] === request;
  const end = lines.find((line) =>
    line.sentence === RELAY_SENTENCE.requestEnded && isOwn(line)
  );
  if (end === undefined) return undefined;
  const took = numberOf(end, "took");
  const arrivedAt = end.time - took;
  const around = lines.filter((line) =>
    line.time >= arrivedAt - LOOK_BACK && line.time <= end.time + TOGETHER
  );
  const finding = findCause({ end, around, arrivedAt });
  const own = around.filter((line) => isOwn(line));
  const evidence = new Set([...finding.evidence, ...own]);
  return {
    request,
    node: end.source,
    outcome: textOf(end, "outcome"),
    status: numberOf(end, "status"),
    tookMilliseconds: took,
    cause: finding.cause,
    evidence: [...evidence].toSorted((left, right) => left.time - right.time),
  };
}

function findCause(found: Case): Finding {
  const { end } = found;
  const outcome = textOf(end, "outcome");
  switch (outcome) {
    case "answered":
      return explainAnswered(found);
    case "lost":
    case "broken_stream":
    case "server_failure":
      return explainServer(found);
    case "quarantined":
      return explainQuarantine(found);
    case "no_engine":
    case "not_run_in_time":
      return explainPlacing(found);
    case "no_server":
      return explainLimits(found) ?? explainNoServer(found);
    default:
      return numberOf(end, "sends") > 0
        ? explainServer(found)
        : explainPlacing(found);
  }
}

function explainQuarantine({ end, around }: Case): Finding {
  const content = textOf(end, "content");
  return {
    cause: `Requests of its content, ${content}, have crashed servers, ` +
      "and all nodes refuse them.",
    evidence: around.filter((line) =>
      line.sentence === RELAY_SENTENCE.quarantined &&
      textOf(line, "content") === content
    ),
  };
}

function explainLimits({ end }: Case): Finding | undefined {
  const limitedFor = numberOf(end, "limited_for");
  if (limitedFor === 0) return undefined;
  return {
    cause: "All servers that could run it name limits; its turn was likely " +
      `after ${limitedFor} ms.`,
    evidence: [],
  };
}

function explainAnswered(found: Case): Finding {
  const { end } = found;
  const placed = numberOf(end, "placed_after");
  const first = numberOf(end, "first_after");
  if (placed > first) {
    const { cause, evidence } = explainPlacing(found);
    return { cause: `It waited ${placed} ms for a place. ${cause}`, evidence };
  }
  return {
    cause: `Its server ${textOf(end, "server")} sent the first bytes after ` +
      `${first} ms.`,
    evidence: [],
  };
}

/** Why no engine had a place, or had one late. */
function explainPlacing(found: Case): Finding {
  const limits = explainLimits(found);
  if (limits !== undefined) return limits;
  const asked = askedOf(found.end);
  const engines = new Set(asked.map((one) => one.engine));
  const isOfEngine = (line: LogLine) => engines.has(textOf(line, "engine"));
  const owners = found.around.filter((line) =>
    line.sentence === RELAY_SENTENCE.newOwner && isOfEngine(line) &&
    line.time + numberOf(line, "wait") > found.arrivedAt
  );
  const [owner] = owners;
  if (owner !== undefined) {
    return { cause: describeOwner(owner), evidence: owners };
  }
  const silent = found.around.filter((line) =>
    line.sentence === RELAY_SENTENCE.outOfReach && isOfEngine(line)
  );
  const [engine] = silent;
  if (engine !== undefined) {
    return {
      cause: `Engine ${textOf(engine, "engine")} did not answer its owner.`,
      evidence: silent,
    };
  }
  return explainAnswers(found, asked);
}

function explainAnswers(found: Case, asked: readonly Asked[]): Finding {
  const refused = asked.filter((one) => one.answer !== "granted");
  const [granted] = asked;
  if (refused.length === 0 && granted !== undefined) {
    return {
      cause: `Engine ${granted.engine} had to bring its adapter first.`,
      evidence: [],
    };
  }
  const failures = found.around.filter((line) =>
    line.sentence === RELAY_SENTENCE.logFailed
  );
  const unowned = refused.find((one) =>
    one.answer === "no_owner" || one.answer === "not_owner"
  );
  if (unowned !== undefined) {
    return {
      cause: failures.length > 0
        ? `Engine ${unowned.engine} had no owner that could be found while ` +
          "the platform's log failed."
        : `Engine ${unowned.engine} had no owner that could be found.`,
      evidence: failures,
    };
  }
  const unheard = refused.find((one) => one.answer === "unreachable");
  if (unheard !== undefined) {
    return {
      cause: `Node ${unheard.owner}, the owner of engine ${unheard.engine}, ` +
        "gave no answer in time.",
      evidence: failures,
    };
  }
  return {
    cause: refused.length > 0
      ? "Everything on the engines that were asked was in use."
      : "No engine was known that could be asked.",
    evidence: [],
  };
}

function describeOwner(line: LogLine): string {
  const wait = numberOf(line, "wait");
  const head = `Engine ${textOf(line, "engine")} had a new owner, node ` +
    textOf(line, "owner");
  return wait > 0
    ? `${head}, which may not order it for ${wait} ms.`
    : `${head}.`;
}

/** Why a server's answer did not come whole, or came as a failure. */
function explainServer(found: Case): Finding {
  const { end, around } = found;
  const server = textOf(end, "server");
  if (textOf(end, "outcome") === "server_failure") {
    return { cause: `Server ${server} answered with a failure.`, evidence: [] };
  }
  const gone = around.filter((line) =>
    (line.sentence === RELAY_SENTENCE.serverLeft ||
        line.sentence === RELAY_SENTENCE.serverLeaves) &&
      textOf(line, "server") === server ||
    line.sentence === RELAY_SENTENCE.outOfReach &&
      textOf(line, "engine") === server
  );
  const lost = around.filter((line) =>
    line.sentence === RELAY_SENTENCE.requestEnded && line !== end &&
    textOf(line, "server") === server &&
    Math.abs(line.time - end.time) <= TOGETHER
  );
  if (gone.length > 0 || lost.length > 0) {
    return {
      cause: `Server ${server} ended or fell silent: ${lost.length} more ` +
        "requests were lost there at that time.",
      evidence: [...gone, ...lost],
    };
  }
  return {
    cause: `Server ${server} gave no whole answer to this request alone.`,
    evidence: [],
  };
}

function explainNoServer({ end, around }: Case): Finding {
  const left = around.filter((line) =>
    line.sentence === RELAY_SENTENCE.serverLeft ||
    line.sentence === RELAY_SENTENCE.serverLeaves
  );
  return {
    cause: `No server of service ${textOf(end, "service")} could be chosen.`,
    evidence: left,
  };
}

function askedOf(end: LogLine): readonly Asked[] {
  return textOf(end, "asked").split(" ").flatMap((text) => {
    const [, engine, owner, answer] = /^(.+)@(.+):(.+)$/.exec(text) ?? [];
    return engine === undefined || owner === undefined || answer === undefined
      ? []
      : [{ engine, owner, answer }];
  });
}

function textOf(line: LogLine, field: string): string {
  return String(line.fields[field] ?? "");
}

function numberOf(line: LogLine, field: string): number {
  return Number(line.fields[field] ?? 0);
}
