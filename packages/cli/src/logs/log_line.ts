import * as z from "zod";

/** One line of a node's log. */
export interface LogLine {
  /** The node's id if the file identifies a single node, else the file. */
  readonly source: string;
  /** Milliseconds since the Unix epoch, by the clock of the node's VM. */
  readonly time: number;
  /** The message without the prefix that names the component of the node. */
  readonly sentence: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

const lineSchema = z.looseObject({
  time: z.iso.datetime(),
  message: z.string(),
});
const COMPONENT_PREFIX = /^[a-z]+: /;

/**
 * Parses one line of a log.
 * @param text The line.
 * @param source The file that contains it.
 * @returns The parsed line, or `undefined` if no node wrote it.
 */
export function parseLogLine(
  text: string,
  source: string,
): LogLine | undefined {
  // Log collectors may add a prefix to each line.
  const start = text.indexOf("{");
  if (start === -1) return undefined;
  const parsed = lineSchema.safeParse(parseJson(text.slice(start)));
  if (!parsed.success) return undefined;
  const { time, message, ...fields } = parsed.data;
  return {
    source,
    time: Date.parse(time),
    sentence: message.replace(COMPONENT_PREFIX, ""),
    fields: Object.fromEntries(Object.entries(fields).filter(isScalarField)),
  };
}

/**
 * Reads a field of a line as text.
 * @param line The line.
 * @param field The field.
 * @returns Its text; empty if the line lacks it.
 */
export function readText(line: LogLine, field: string): string {
  return String(line.fields[field] ?? "");
}

/**
 * Reads a field of a line as a number.
 * @param line The line.
 * @param field The field.
 * @returns The number; 0 if the line lacks the field.
 */
export function readNumber(line: LogLine, field: string): number {
  return Number(line.fields[field] ?? 0);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // A log may also contain lines of other programs.
    return undefined;
  }
}

function isScalarField(
  entry: [string, unknown],
): entry is [string, string | number | boolean] {
  return ["string", "number", "boolean"].includes(typeof entry[1]);
}
