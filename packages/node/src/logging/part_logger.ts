import { type ConsolaInstance, createConsola } from "consola";
import process from "node:process";
import {
  humanReporter,
  jsonReporter,
  type WriteLine,
} from "./log_reporters.ts";

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
  | "metrics"
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

  /** Says what helps to find a fault, and is too much in normal running. */
  debug(sentence: string, fields: LogFields = {}): void {
    this.#consola.debug(`${this.#part}: ${sentence}`, fields);
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

/** Where the lines of parts go that don't go with all others. */
export type PartWriters = Readonly<Partial<Record<LogPart, WriteLine>>>;

/** Makes the loggers of all parts. */
export class LoggerFactory {
  readonly #format: LogFormat;
  readonly #level: number;
  readonly #consola: ConsolaInstance;
  readonly #partWriters: PartWriters;

  /**
   * @param format How lines are written.
   * @param level The most talkative level of consola that is written.
   * @param write Takes the lines; standard error where left out.
   * @param partWriters Take the lines of single parts instead.
   */
  constructor(
    format: LogFormat,
    level: number,
    write: WriteLine = writeToStandardError,
    partWriters: PartWriters = {},
  ) {
    this.#format = format;
    this.#level = level;
    this.#consola = this.#makeConsola(write);
    this.#partWriters = partWriters;
  }

  /**
   * Makes a part's logger.
   * @param part The part.
   * @returns Its logger.
   */
  forPart(part: LogPart): PartLogger {
    const write = this.#partWriters[part];
    const consola = write === undefined
      ? this.#consola
      : this.#makeConsola(write);
    return new PartLogger(consola, part);
  }

  #makeConsola(write: WriteLine): ConsolaInstance {
    const reporter = this.#format === "human"
      ? humanReporter(write)
      : jsonReporter(write);
    return createConsola({ level: this.#level, reporters: [reporter] });
  }
}

function writeToStandardError(line: string): void {
  process.stderr.write(line);
}
