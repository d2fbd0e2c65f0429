import {
  Configuration,
  CONFIGURATION_STREAM,
  type LogOffset,
  logOffset,
  parseConfigurationRecord,
} from "@foxtailwind/core";
import type { LogClient } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import type { PartLogger } from "../logging/part_logger.ts";

const PAGE_RECORDS = 1_000;
const LONG_POLL_MILLISECONDS = 2_000;
const RETRY_MILLISECONDS = 200;

/** Follows the log's configuration stream and applies its records in order. */
export class ConfigurationFollower {
  readonly configuration = new Configuration();
  readonly #log: LogClient;
  readonly #logger: PartLogger;
  #next = logOffset(0);
  #stopped = false;
  #corrupt = 0;

  constructor(log: LogClient, logger: PartLogger) {
    this.#log = log;
    this.#logger = logger;
  }

  /** How many records could not be read. */
  get corruptRecords(): number {
    return this.#corrupt;
  }

  /** Follows the log until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const caughtUp = await this.readOnce(LONG_POLL_MILLISECONDS);
      if (!caughtUp) await sleep(RETRY_MILLISECONDS);
    }
  }

  /**
   * Reads and applies one page.
   * @param waitMilliseconds How long to wait at the tail.
   * @returns Whether the log answered.
   */
  async readOnce(waitMilliseconds: number): Promise<boolean> {
    const page = await this.#log.read(CONFIGURATION_STREAM, {
      from: this.#next,
      limit: PAGE_RECORDS,
      waitMilliseconds,
    });
    if (page.isErr()) {
      if (!this.#stopped) {
        this.#logger.warn("The log did not answer.", {
          peer: page.error.peer,
          step: page.error.step,
        });
      }
      return false;
    }
    for (const record of page.value.records) {
      this.#apply(record.offset, record.data);
    }
    return true;
  }

  /** Ends {@link run} after the read in progress. */
  stop(): void {
    this.#stopped = true;
  }

  #apply(offset: LogOffset, data: string): void {
    if (offset < this.#next) return;
    this.#next = logOffset(offset + 1);
    const record = parseConfigurationRecord(data);
    if (record.isErr()) {
      this.#corrupt += 1;
      this.configuration.skipTo(offset);
      this.#logger.error("A record was passed over.", {
        offset,
        reason: record.error.message,
      });
      return;
    }
    this.configuration.apply(offset, record.value);
  }
}
