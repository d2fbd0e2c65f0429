import {
  CONFIGURATION_STREAM,
  type ConfigurationChange,
  type ConfigurationRecord,
  type Failure,
  formatConfigurationRecord,
  itemKeyOf,
  later,
  type LogOffset,
  MAXIMUM_RECORD_BYTES,
  milliseconds,
  type RecentChange,
} from "@foxtailwind/core";
import type { LogClient } from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ConfigurationFollower } from "./configuration_follower.ts";
import {
  type AcceptedChange,
  createPublishFailure,
  type PublishFailure,
  toPublishFailure,
} from "./publish_failure.ts";

const PUBLISH_TIMEOUT = milliseconds(4_000);
const RETRY_MILLISECONDS = 100;

/** The dependencies of {@link ConfigurationPublisher}. */
export interface PublisherParts {
  readonly log: LogClient;
  readonly follower: ConfigurationFollower;
  readonly clock: SteadyClock;
}

/** Appends operators' changes and reads their verdicts back. */
export class ConfigurationPublisher {
  readonly #parts: PublisherParts;

  /** @param parts The dependencies. */
  constructor(parts: PublisherParts) {
    this.#parts = parts;
  }

  /**
   * Publishes a record. Publishing the same id again at any time returns the
   * result of the first publication and changes nothing more.
   * @param record The record.
   * @returns The offset at which it was accepted, why it was refused, or that
   * its result is not known yet.
   */
  async publish(
    record: ConfigurationRecord,
  ): Promise<Result<AcceptedChange, PublishFailure>> {
    const known = this.#find(record);
    if (known !== undefined) return toPublishResult(known, true);
    const failure = this.#validate(record);
    if (failure !== undefined) return err(failure);
    const until = later(this.#parts.clock.now(), PUBLISH_TIMEOUT);
    const appended = await this.#append(record, until);
    if (appended.isErr()) return err(appended.error);
    const settled = await this.#readBack(record, {
      offset: appended.value,
      until,
    });
    if (settled === undefined) return err(readBackFailure(record.id));
    return toPublishResult(settled, settled.offset !== appended.value);
  }

  #find(record: ConfigurationRecord): RecentChange | undefined {
    return this.#parts.follower.configuration.recent.find(record.id);
  }

  #validate(record: ConfigurationRecord): PublishFailure | undefined {
    const { reader } = this.#parts.follower.store;
    if (reader.halt !== undefined) {
      return createPublishFailure("unavailable", {
        message:
          `This node reads no further than offset ${reader.nextOffset}: ` +
          `${this.#parts.follower.status().halted}.`,
        remedy: "Publish through a node of the newer release.",
      });
    }
    const bytes = Buffer.byteLength(formatConfigurationRecord(record));
    if (bytes > MAXIMUM_RECORD_BYTES) {
      return createPublishFailure("invalid", {
        message: `The record has ${bytes} bytes; ${MAXIMUM_RECORD_BYTES} are ` +
          "allowed.",
        remedy: "Publish the changes in several records.",
      });
    }
    const missing = record.changes.find((change) => this.#isMissing(change));
    return missing === undefined
      ? undefined
      : createPublishFailure("not_found", {
        message: `${itemKeyOf(missing)} does not exist at offset ` +
          `${reader.configuration.offset}.`,
        remedy: "List the items, and name one of them.",
      });
  }

  #isMissing(change: ConfigurationChange): boolean {
    if (!change.kind.startsWith("remove_")) return false;
    const { configuration } = this.#parts.follower;
    const current = configuration.stateAsChange(itemKeyOf(change));
    return current.kind.startsWith("remove_");
  }

  /** Retries if an answer is lost; appending the same id again is safe. */
  async #append(
    record: ConfigurationRecord,
    until: number,
  ): Promise<Result<LogOffset, PublishFailure>> {
    const text = formatConfigurationRecord(record);
    let mayHaveRun = false;
    for (;;) {
      const offset = await this.#parts.log.append(CONFIGURATION_STREAM, [text]);
      if (offset.isOk()) return ok(offset.value);
      mayHaveRun ||= offset.error.outcome !== "not_run";
      const wait = offset.error.retryAfterMilliseconds ?? RETRY_MILLISECONDS;
      if (this.#parts.clock.now() + wait >= until) {
        return err(
          appendFailure(record.id, { cause: offset.error, mayHaveRun }),
        );
      }
      await sleep(wait);
    }
  }

  async #readBack(
    record: ConfigurationRecord,
    { offset, until }: { readonly offset: LogOffset; readonly until: number },
  ): Promise<RecentChange | undefined> {
    const { follower, clock } = this.#parts;
    while (follower.store.reader.nextOffset <= offset) {
      if (clock.now() >= until) return undefined;
      if (follower.store.reader.halt !== undefined) return undefined;
      const answered = await follower.readOnce(0);
      if (!answered) await sleep(RETRY_MILLISECONDS);
    }
    return this.#find(record);
  }
}

function toPublishResult(
  change: RecentChange,
  repeated: boolean,
): Result<AcceptedChange, PublishFailure> {
  const { id, offset, verdict } = change;
  if (verdict.kind === "accepted") return ok({ id, offset, repeated });
  if (verdict.kind === "conflict" && verdict.change === id) {
    return ok({ id, offset: verdict.winner, repeated: true });
  }
  return err(toPublishFailure(verdict));
}

function appendFailure(
  id: string,
  { cause, mayHaveRun }: {
    readonly cause: Failure;
    readonly mayHaveRun: boolean;
  },
): PublishFailure {
  return {
    ...cause,
    outcome: mayHaveRun ? "unknown" : "not_run",
    message: `The log did not take change ${id}: ${cause.message}`,
    remedy: mayHaveRun
      ? `Publish id ${id} again later: it tells what became of it.`
      : "Nothing was changed. Try again later.",
  };
}

function readBackFailure(id: string): PublishFailure {
  return {
    ...createPublishFailure("timeout", {
      message: `Change ${id} was appended, but could not be read back.`,
      remedy: `Publish id ${id} again later: it tells what became of it.`,
    }),
    outcome: "unknown",
  };
}
