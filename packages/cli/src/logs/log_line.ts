import * as z from "zod";

/** One line of a node's log. */
export interface LogLine {
  /** The node, where its file tells, else the file. */
  readonly source: string;
  /** Milliseconds since 1970, by the clock of its VM. */
  readonly time: number;
  /** The sentence, without the part of the node that wrote it. */
  readonly sentence: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

const lineSchema = z.looseObject({
  time: z.iso.datetime(),
  message: z.string(),
});
const COMPONENT_PREFIX = /^[a-z]+: /;

/**
 * Reads one line of a log.
 * @param text The line.
 * @param source Where it stands.
 * @returns The line, or nothing where it is none of a node's.
 */
export function parseLogLine(
  text: string,
  source: string,
): LogLine | undefined {
  // Whoever collects logs may put something before each line.
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

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Lines of other programs may stand between those of a node.
    return undefined;
  }
}

function isScalarField(
  entry: [string, unknown],
): entry is [string, string | number | boolean] {
  return ["string", "number", "boolean"].includes(typeof entry[1]);
}
