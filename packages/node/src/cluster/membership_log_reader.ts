import {
  type ClusterLogPage,
  type LogOffset,
  MEMBERSHIP_STREAM,
} from "@foxtailwind/core";
import type { LogClient } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";

const PAGE_RECORDS = 1_000;
/** Well below the lease, which each read at the tail renews. */
const LONG_POLL_MILLISECONDS = 300;
const RETRY_MILLISECONDS = 100;

/** What a reader works with. */
export interface MembershipLogReaderParts {
  readonly log: LogClient;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
  /** The first offset that is wanted. */
  readonly nextOffset: () => LogOffset;
  /** Takes in each page. */
  readonly onPage: (page: ClusterLogPage) => void;
}

/** Follows the log's membership stream. */
export class MembershipLogReader {
  readonly #parts: MembershipLogReaderParts;
  #stopped = false;
  #isLogAvailable = true;

  constructor(parts: MembershipLogReaderParts) {
    this.#parts = parts;
  }

  /** Reads until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const answered = await this.#readOnce();
      if (!answered) await sleep(RETRY_MILLISECONDS);
    }
  }

  /** Ends {@link run} after the read in progress. */
  stop(): void {
    this.#stopped = true;
  }

  async #readOnce(): Promise<boolean> {
    const { log, clock, nextOffset: next, onPage } = this.#parts;
    const startedAt = clock.now();
    const page = await log.read(MEMBERSHIP_STREAM, {
      from: next(),
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

  #logAvailability(answered: boolean, reason: string): void {
    if (answered === this.#isLogAvailable) return;
    this.#isLogAvailable = answered;
    const { logger } = this.#parts;
    if (answered) logger.info("The log answers again.");
    else logger.warn("The log does not answer.", { peer: "log", reason });
  }
}
