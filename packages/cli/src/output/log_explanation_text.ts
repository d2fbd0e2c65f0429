import type { LogExplanation } from "../logs/explain_request.ts";
import type { LogLine } from "../logs/log_line.ts";

const TIME_COLUMNS = 10;
/** Said of the request before, or the same in every line. */
const LEFT_OUT = new Set(["level", "request"]);

/**
 * Writes what logs tell of a request.
 * @param explanation What they tell.
 * @returns The text: the end, the cause, and the lines that show it.
 */
export function formatLogExplanation(explanation: LogExplanation): string {
  const { request, node, outcome, status, tookMilliseconds } = explanation;
  const until = explanation.evidence.at(-1)?.time ?? 0;
  return [
    `Request ${request} at ${node}: ${outcome}, status ${status}, after ` +
    `${tookMilliseconds} ms.`,
    explanation.cause,
    ...explanation.evidence.map((line) => formatLine(line, until)),
  ].join("\n");
}

function formatLine(line: LogLine, until: number): string {
  const fields = Object.entries(line.fields)
    .filter(([name]) => !LEFT_OUT.has(name))
    .map(([name, value]) => ` ${name}=${value}`);
  const before = `-${until - line.time} ms`.padStart(TIME_COLUMNS);
  return `${before}  ${line.source}: ${line.sentence}${fields.join("")}`;
}
