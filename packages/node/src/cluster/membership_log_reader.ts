import {
  type ClusterLogPage,
  type LogOffset,
  MEMBERSHIP_STREAM,
} from "@foxtailwind/core";
import type { LogClient } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";

const PAGE_RECORDS = 1_000;
/** Well below the lease, which each read that reaches the tail renews. */
const LONG_POLL_MILLISECONDS = 300;
const RETRY_MILLISECONDS = 100;

/** The dependencies of {@link MembershipLogReader}. */
export interface MembershipLogReaderParts {
  readonly log: LogClient;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Returns the offset of the next record to read. */
  readonly nextOffset: () => LogOffset;
  /** Receives each page. */
  readonly onPage: (page: ClusterLogPage) => void;
}

/** Reads the log's membership stream continuously. */
export class MembershipLogReader {
  readonly #parts: MembershipLogReaderParts;
  #stopped = false;
  #isLogAvailable = true;

  /** @param parts The dependencies. */
  constructor(parts: MembershipLogReaderParts) {
    this.#parts = parts;
  }

  /** Reads until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const isAvailable = await this.#readOnce();
      if (!isAvailable) await sleep(RETRY_MILLISECONDS);
    }
  }

  /** Stops {@link run} after the read in progress. */
  stop(): void {
    this.#stopped = true;
  }

  async #readOnce(): Promise<boolean> {
    const { log, clock, nextOffset, onPage } = this.#parts;
    const startedAt = clock.now();
    const page = await log.read(MEMBERSHIP_STREAM, {
      from: nextOffset(),
      limit: PAGE_RECORDS,
      waitMilliseconds: LONG_POLL_MILLISECONDS,
    });
    if (this.#stopped) return true;
    if (page.isErr()) {
      this.#logAvailability(false, page.error.reason);
      return false;
    }
    this.#logAvailability(true, "");
    onPage({ startedAt, ...page.value });
    return true;
  }

  #logAvailability(isAvailable: boolean, reason: string): void {
    if (isAvailable === this.#isLogAvailable) return;
    this.#isLogAvailable = isAvailable;
    const { logger } = this.#parts;
    if (isAvailable) logger.info("The log is available again.");
    else logger.warn("The log is unavailable.", { peer: "log", reason });
  }
}
