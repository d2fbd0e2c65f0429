import { RELAY_SENTENCE } from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import type { CommandFailure } from "../command_failure.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { type LogLine, parseLogLine } from "./log_line.ts";

/** The file name that stands for standard input. */
const STANDARD_INPUT = "-";
/** Outcomes of other requests that may indicate a failing server. */
const RELEVANT_OUTCOMES = new Set(["lost", "broken_stream", "time_limit"]);

/**
 * Reads the lines that may be relevant to a request from nodes' logs.
 * @param files The paths; `-` is standard input.
 * @param request The request's id.
 * @returns The lines, sorted by time, or why a log cannot be read.
 */
export async function readLogs(
  files: readonly string[],
  request: string,
): Promise<Result<readonly LogLine[], CommandFailure>> {
  const lines: LogLine[] = [];
  for (const file of files) {
    const read = await readLog(file, request);
    if (read.isErr()) return err(read.error);
    lines.push(...read.value);
  }
  return ok(lines.toSorted((left, right) => left.time - right.time));
}

async function readLog(
  file: string,
  request: string,
): Promise<Result<readonly LogLine[], CommandFailure>> {
  const relevantLines: LogLine[] = [];
  const startedNodes = new Set<string>();
  const name = file === STANDARD_INPUT ? "standard input" : file;
  let lineCount = 0;
  try {
    for await (const text of openLog(file)) {
      const line = parseLogLine(text, name);
      if (line === undefined) continue;
      lineCount += 1;
      const { node } = line.fields;
      const isNodeStart = line.sentence === RELAY_SENTENCE.started;
      if (isNodeStart && typeof node === "string") startedNodes.add(node);
      if (isRelevant(line, request)) relevantLines.push(line);
    }
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    return err({
      code: EXIT_CODE.usage,
      message: `Cannot read ${file}: ${cause}.`,
      remedy: "Name readable log files, or - for standard input.",
    });
  }
  // In a file with lines of several nodes, a line does not name its node.
  const [node] = startedNodes;
  const source = startedNodes.size === 1 && node !== undefined ? node : name;
  if (lineCount > 0) {
    return ok(relevantLines.map((line) => ({ ...line, source })));
  }
  return err({
    code: EXIT_CODE.usage,
    message: `${file} has no line of a node's log.`,
    remedy: "Name files with the JSON lines that nodes write.",
  });
}

function openLog(file: string): AsyncIterable<string> {
  const input = file === STANDARD_INPUT
    ? process.stdin
    : createReadStream(file);
  return createInterface({ input, crlfDelay: Infinity });
}

/**
 * Drops most ends of other requests, which make up most of a log and rarely
 * explain anything.
 */
function isRelevant({ sentence, fields }: LogLine, request: string): boolean {
  const belongsToOtherRequest = fields["request"] !== undefined &&
    fields["request"] !== request;
  if (!belongsToOtherRequest) return true;
  return sentence === RELAY_SENTENCE.requestEnded &&
    RELEVANT_OUTCOMES.has(String(fields["outcome"]));
}
