import { type ConsolaInstance, createConsola } from "consola";
import process from "node:process";

/** A part of the daemon, whose log lines carry its prefix. */
export type LogPart =
  | "daemon"
  | "settings"
  | "callers"
  | "operators"
  | "peers"
  | "serving"
  | "services"
  | "configuration"
  | "membership"
  | "ownership";

/** How log lines are written. */
export type LogFormat = "human" | "json";

/** What a log line is about, besides its sentence. */
export interface LogFields {
  readonly request?: string;
  readonly peer?: string;
  readonly engine?: string;
  readonly step?: string;
  readonly [field: string]: string | number | boolean | undefined;
}

/** Writes the log lines of one part: short sentences with its prefix. */
export class PartLogger {
  readonly #consola: ConsolaInstance;
  readonly #part: LogPart;

  constructor(consola: ConsolaInstance, part: LogPart) {
    this.#consola = consola;
    this.#part = part;
  }

  /** Says what an operator wants to know in normal running. */
  info(sentence: string, fields: LogFields = {}): void {
    this.#consola.info(`${this.#part}: ${sentence}`, fields);
  }

  /** Says what may need an operator's attention. */
  warn(sentence: string, fields: LogFields = {}): void {
    this.#consola.warn(`${this.#part}: ${sentence}`, fields);
  }

  /** Says what went wrong. */
  error(sentence: string, fields: LogFields = {}): void {
    this.#consola.error(`${this.#part}: ${sentence}`, fields);
  }
}

/** Makes the loggers of all parts. */
export class LoggerFactory {
  readonly #consola: ConsolaInstance;

  constructor(format: LogFormat, level: number) {
    this.#consola = format === "human"
      ? createConsola({ level, stdout: process.stderr })
      : createConsola({ level, reporters: [{ log: writeJsonLine }] });
  }

  /**
   * Makes a part's logger.
   * @param part The part.
   * @returns Its logger.
   */
  forPart(part: LogPart): PartLogger {
    return new PartLogger(this.#consola, part);
  }
}

function writeJsonLine(
  entry: {
    readonly type: string;
    readonly date: Date;
    readonly args: unknown[];
  },
): void {
  const [message, fields] = entry.args;
  const line = {
    time: entry.date.toISOString(),
    level: entry.type,
    message,
    ...(fields as object),
  };
  process.stderr.write(`${JSON.stringify(line)}\n`);
}
