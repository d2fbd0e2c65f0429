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
import type { PartLogger } from "../logging/part_logger.ts";
import { RecordBuffer } from "./record_ring.ts";

/** All records of the log from one offset to another. */
export interface RecordRange {
  readonly from: LogOffset;
  readonly records: readonly StoredRecord[];
  /** How long ago the range was known to reach the log's tail. */
  readonly age: Duration | undefined;
}

/** The configuration of this node, and the latest records to pass on. */
export class ConfigurationStore {
  readonly reader = new ConfigurationReader();
  readonly #recentRecords = new RecordBuffer();
  readonly #listeners = new Set<() => void>();
  readonly #clock: SteadyClock;
  readonly #logger: PartLogger;
  #confirmedAt: Instant | undefined;

  constructor(clock: SteadyClock, logger: PartLogger) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** Whether the log's tail was reached once, here or at a peer. */
  get caughtUp(): boolean {
    return this.#confirmedAt !== undefined;
  }

  /**
   * Measures how long ago all accepted changes were known to be read.
   * @returns The time, infinite where that was never so.
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
   * @returns Whether it joins what was read before.
   */
  take(range: RecordRange): boolean {
    if (!this.reader.isContiguous(range.from)) return false;
    const before = this.reader.nextOffset;
    for (const record of range.records) this.#readRecord(record);
    this.confirm(range.age);
    if (this.reader.nextOffset > before) this.#notifyListeners();
    return true;
  }

  /**
   * Takes over a configuration that covers more than is read here.
   * @param configuration The configuration.
   */
  adopt(configuration: Configuration): void {
    if (configuration.offset <= this.reader.configuration.offset) return;
    this.reader.adopt(configuration);
    this.#recentRecords.reset(this.reader.nextOffset);
    this.#logger.info("A snapshot was taken over.", {
      offset: configuration.offset,
    });
    this.#notifyListeners();
  }

  /**
   * Notes that what is read here reached the log's tail.
   * @param age How long ago; nothing where it did not.
   */
  confirm(age: Duration | undefined): void {
    if (age === undefined || this.reader.halt !== undefined) return;
    if (!Number.isFinite(age)) return;
    const at = instant(this.#clock.now() - age);
    if (at > (this.#confirmedAt ?? Number.NEGATIVE_INFINITY)) {
      this.#confirmedAt = at;
    }
  }

  /**
   * Reads records to pass on.
   * @param from The lowest offset wanted.
   * @returns The records, or nothing where only the whole state will do.
   */
  recordsFrom(from: LogOffset): readonly StoredRecord[] | undefined {
    return this.#recentRecords.readFrom(from);
  }

  /**
   * Calls back after each advance.
   * @param listener What to call.
   * @returns Ends the calls.
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
      this.#logger.error("A record was passed over.", { offset, reason });
    }
    if (reading.kind === "manifest" && reading.matches === false) {
      this.#logger.error("A snapshot differs from what was read here.", {
        offset,
      });
    }
    if (reading.kind === "halted" && !wasHalted) {
      this.#logger.error("A record needs a newer release of the daemon.", {
        offset,
      });
    }
  }

  #notifyListeners(): void {
    for (const listener of this.#listeners) listener();
  }
}
