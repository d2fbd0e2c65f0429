import {
  type Configuration,
  ConfigurationReader,
  type Duration,
  elapsed,
  type Instant,
  instant,
  type LogOffset,
  milliseconds,
  type RecordReading,
  type StoredRecord,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import { RecordBuffer } from "./record_buffer.ts";

/** A contiguous range of log records. */
export interface RecordRange {
  readonly from: LogOffset;
  readonly records: readonly StoredRecord[];
  /** How long ago the range reached the log's tail, if it is known to have. */
  readonly age: Duration | undefined;
}

/** Keeps this node's configuration and the latest records for followers. */
export class ConfigurationStore {
  readonly reader = new ConfigurationReader();
  readonly #recentRecords = new RecordBuffer();
  readonly #listeners = new Set<() => void>();
  readonly #clock: SteadyClock;
  readonly #logger: ComponentLogger;
  #confirmedAt: Instant | undefined;

  /**
   * @param clock The clock of this node.
   * @param logger Reports records and snapshots that can't be used.
   */
  constructor(clock: SteadyClock, logger: ComponentLogger) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** Whether the log's tail was reached at least once, here or by a peer. */
  get caughtUp(): boolean {
    return this.#confirmedAt !== undefined;
  }

  /**
   * Returns how long ago this node was last known to have read all accepted
   * changes.
   * @returns The time; infinite if that was never known.
   */
  age(): Duration {
    if (this.#confirmedAt === undefined) {
      return milliseconds(Number.POSITIVE_INFINITY);
    }
    return elapsed(this.#confirmedAt, this.#clock.now());
  }

  /**
   * Reads a range of records.
   * @param range The range.
   * @returns Whether the range is contiguous with the records read before.
   */
  addRange(range: RecordRange): boolean {
    if (!this.reader.isContiguous(range.from)) return false;
    const before = this.reader.nextOffset;
    for (const record of range.records) this.#readRecord(record);
    this.recordTailReached(range.age);
    if (this.reader.nextOffset > before) this.#notifyListeners();
    return true;
  }

  /**
   * Adopts a configuration if it covers more than was read here.
   * @param configuration The configuration.
   */
  adopt(configuration: Configuration): void {
    if (configuration.offset <= this.reader.configuration.offset) return;
    this.reader.adopt(configuration);
    this.#recentRecords.reset(this.reader.nextOffset);
    this.#logger.info("A configuration snapshot was adopted.", {
      offset: configuration.offset,
    });
    this.#notifyListeners();
  }

  /**
   * Records that the records read here reached the log's tail.
   * @param age How long ago; `undefined` if they did not.
   */
  recordTailReached(age: Duration | undefined): void {
    if (age === undefined || this.reader.halt !== undefined) return;
    if (!Number.isFinite(age)) return;
    const at = instant(this.#clock.now() - age);
    if (at > (this.#confirmedAt ?? Number.NEGATIVE_INFINITY)) {
      this.#confirmedAt = at;
    }
  }

  /**
   * Reads records for a follower.
   * @param from The first offset to return.
   * @returns The records, or `undefined` if the follower needs a snapshot.
   */
  recordsFrom(from: LogOffset): readonly StoredRecord[] | undefined {
    return this.#recentRecords.readFrom(from);
  }

  /**
   * Registers a listener for advances of the configuration.
   * @param listener Called after each advance.
   * @returns Removes the listener.
   */
  onAdvance(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #readRecord(record: StoredRecord): void {
    const wasHalted = this.reader.halt !== undefined;
    const reading = this.reader.read(record);
    if (reading.kind !== "already_read" && reading.kind !== "halted") {
      this.#recentRecords.push(record);
    }
    this.#report(record, reading, wasHalted);
  }

  #report(
    { offset }: StoredRecord,
    reading: RecordReading,
    wasHalted: boolean,
  ): void {
    if (reading.kind === "corrupt") {
      const reason = reading.message;
      this.#logger.error("A configuration record was skipped as corrupt.", {
        offset,
        reason,
      });
    }
    if (reading.kind === "manifest" && reading.matches === false) {
      this.#logger.error("A snapshot does not match the records read here.", {
        offset,
      });
    }
    if (reading.kind === "halted" && !wasHalted) {
      this.#logger.error(
        "A configuration record needs a newer release of the daemon.",
        {
          offset,
        },
      );
    }
  }

  #notifyListeners(): void {
    for (const listener of this.#listeners) listener();
  }
}
