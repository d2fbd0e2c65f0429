import type { ConsolaReporter, LogObject } from "consola";

/** Writes one log line, which includes its line break. */
export type WriteLine = (line: string) => void;

/**
 * Creates a reporter of human-readable lines: time, level, sentence, fields.
 * @param write Writes a line.
 * @returns The reporter.
 */
export function humanReporter(write: WriteLine): ConsolaReporter {
  return {
    log(entry) {
      const { message, fields } = readEntry(entry);
      const named = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => ` ${name}=${quoteWhereNeeded(value)}`);
      const level = entry.type.padEnd(LEVEL_WIDTH);
      const time = entry.date.toISOString();
      write(`${time} ${level} ${message}${named.join("")}\n`);
    },
  };
}

/**
 * Creates a reporter of JSON lines, with the log fields as members.
 * @param write Writes a line.
 * @returns The reporter.
 */
export function jsonReporter(write: WriteLine): ConsolaReporter {
  return {
    log(entry) {
      const { message, fields } = readEntry(entry);
      const time = entry.date.toISOString();
      const line = { ...fields, time, level: entry.type, message };
      write(`${JSON.stringify(line)}\n`);
    },
  };
}

const LEVEL_WIDTH = 5;
const PLAIN_VALUE = /^[^\s"=]+$/;

interface LogParts {
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

function readEntry(entry: LogObject): LogParts {
  const message: unknown = entry.args[0];
  const fields: unknown = entry.args[1];
  return {
    message: String(message),
    fields: Object.fromEntries(Object.entries(fields ?? {})),
  };
}

function quoteWhereNeeded(value: unknown): string {
  const text = String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}
