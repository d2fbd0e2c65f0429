import type { LogExplanation } from "../logs/explain_request.ts";
import type { LogLine } from "../logs/log_line.ts";

const TIME_WIDTH_COLUMNS = 10;
/** Fields that are shown above or are the same in every line. */
const OMITTED_FIELDS = new Set(["level", "request"]);

/**
 * Formats the explanation of a request, based on logs.
 * @param explanation The explanation.
 * @returns The text: the outcome, the cause, and the lines that support it.
 */
export function formatLogExplanation(explanation: LogExplanation): string {
  const { request, node, outcome, status, tookMilliseconds } = explanation;
  const lastTime = explanation.evidence.at(-1)?.time ?? 0;
  return [
    `Request ${request} at ${node}: ${outcome}, status ${status}, after ` +
    `${tookMilliseconds} ms.`,
    explanation.cause,
    ...explanation.evidence.map((line) => formatLine(line, lastTime)),
  ].join("\n");
}

function formatLine(line: LogLine, lastTime: number): string {
  const fields = Object.entries(line.fields)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => ` ${name}=${value}`);
  const timeBeforeLast = `-${lastTime - line.time} ms`.padStart(
    TIME_WIDTH_COLUMNS,
  );
  return `${timeBeforeLast}  ${line.source}: ${line.sentence}${
    fields.join("")
  }`;
}
