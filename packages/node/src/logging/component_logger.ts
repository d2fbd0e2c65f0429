import { type ConsolaInstance, createConsola } from "consola";
import process from "node:process";
import {
  humanReporter,
  jsonReporter,
  type WriteLine,
} from "./log_reporters.ts";

/** A component of the daemon; prefixes its log lines. */
export type LogComponent =
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

/** The output format of log lines. */
export type LogFormat = "human" | "json";

/** Structured fields of a log line. */
export interface LogFields {
  readonly request?: string;
  readonly peer?: string;
  readonly engine?: string;
  readonly step?: string;
  readonly [field: string]: string | number | boolean | undefined;
}

/** Logs short sentences with the prefix of one component. */
export class ComponentLogger {
  readonly #consola: ConsolaInstance;
  readonly #component: LogComponent;

  constructor(consola: ConsolaInstance, part: LogComponent) {
    this.#consola = consola;
    this.#component = part;
  }

  /** Logs details for troubleshooting, too verbose for normal operation. */
  debug(sentence: string, fields: LogFields = {}): void {
    this.#consola.debug(`${this.#component}: ${sentence}`, fields);
  }

  /** Logs an event of normal operation. */
  info(sentence: string, fields: LogFields = {}): void {
    this.#consola.info(`${this.#component}: ${sentence}`, fields);
  }

  /** Logs an event that may need an operator's attention. */
  warn(sentence: string, fields: LogFields = {}): void {
    this.#consola.warn(`${this.#component}: ${sentence}`, fields);
  }

  /** Logs a failure. */
  error(sentence: string, fields: LogFields = {}): void {
    this.#consola.error(`${this.#component}: ${sentence}`, fields);
  }
}

/** Separate outputs for the log lines of single components. */
export type ComponentWriters = Readonly<
  Partial<Record<LogComponent, WriteLine>>
>;

/** Creates the loggers of all components. */
export class LoggerFactory {
  readonly #format: LogFormat;
  readonly #level: number;
  readonly #consola: ConsolaInstance;
  readonly #componentWriters: ComponentWriters;

  /**
   * @param format The output format.
   * @param level The most verbose consola level that is written.
   * @param write Writes a line; defaults to standard error.
   * @param partWriters Write the lines of single components instead.
   */
  constructor(
    format: LogFormat,
    level: number,
    write: WriteLine = writeToStandardError,
    partWriters: ComponentWriters = {},
  ) {
    this.#format = format;
    this.#level = level;
    this.#consola = this.#makeConsola(write);
    this.#componentWriters = partWriters;
  }

  /**
   * Creates the logger of a component.
   * @param part The component.
   * @returns Its logger.
   */
  forComponent(part: LogComponent): ComponentLogger {
    const write = this.#componentWriters[part];
    const consola = write === undefined
      ? this.#consola
      : this.#makeConsola(write);
    return new ComponentLogger(consola, part);
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
