import {
  type Duration,
  elapsed,
  type Instant,
  MAXIMUM_SUSPECT_RUN_TIME,
  type RegisteredServer,
  type ServerRun,
} from "@foxtailwind/core";
import type { RequestContent } from "./request_content.ts";
import { SETTLE_DELAY } from "./run_end_finder.ts";

/** The maximum number of answers remembered that ended with a connection. */
const MAXIMUM_UNMARKED_ENDS = 500;

/** A call whose answer ended with its connection, as a broken one may. */
export interface UnmarkedEnd {
  readonly content: RequestContent;
  readonly server: RegisteredServer;
  readonly ranFor: Duration;
  readonly endedAt: Instant;
}

/** Remembers answers that may have ended with their server. */
export class UnmarkedEnds {
  #ends: readonly UnmarkedEnd[] = [];

  /**
   * Adds an answer.
   * @param end The answer.
   */
  add(end: UnmarkedEnd): void {
    end.content.releaseBody();
    this.#ends = [
      ...this.#ends.filter((one) =>
        elapsed(one.endedAt, end.endedAt) <= MAXIMUM_SUSPECT_RUN_TIME
      ).slice(-MAXIMUM_UNMARKED_ENDS),
      end,
    ];
  }

  /**
   * Removes the answers that ended as a run of a server did.
   * @param run The run.
   * @param endedAt When it ended.
   * @returns The answers.
   */
  take({ id, start }: ServerRun, endedAt: Instant): readonly UnmarkedEnd[] {
    const isConcerned = (one: UnmarkedEnd): boolean =>
      one.server.id === id && one.server.start === start &&
      Math.abs(elapsed(one.endedAt, endedAt)) <= SETTLE_DELAY;
    const taken = this.#ends.filter(isConcerned);
    this.#ends = this.#ends.filter((one) => !isConcerned(one));
    return taken;
  }
}
