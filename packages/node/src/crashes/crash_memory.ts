import {
  type ContentDigest,
  CRASH_STREAM,
  type CrashRecord,
  type CrashSuspicion,
  type Duration,
  formatCrashRecord,
  type Instant,
  type LogOffset,
  logOffset,
  MAXIMUM_SUSPECT_RUN_TIME,
  milliseconds,
  parseCrashRecord,
  RequestQuarantine,
  type Suspect,
} from "@foxtailwind/core";
import type { LogClient, LogRecord } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";

const PAGE_RECORDS = 1_000;
const LONG_POLL_MILLISECONDS = 10_000;
/** The delay between tries while the log fails. */
const RETRY_MILLISECONDS = 500;
/** The maximum number of unwritten records; the oldest are dropped first. */
const MAXIMUM_UNWRITTEN_RECORDS = 500;

/** The dependencies of {@link CrashMemory}. */
export interface CrashMemoryParts {
  readonly log: LogClient;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/**
 * Tracks which request contents crash engines, shared by all nodes: each node
 * appends its observations to a log stream and follows that stream.
 */
export class CrashMemory {
  readonly #parts: CrashMemoryParts;
  readonly #quarantine = new RequestQuarantine();
  readonly #unwritten: CrashRecord[] = [];
  #quarantinedContents: ReadonlySet<ContentDigest> = new Set();
  #nextOffset: LogOffset = logOffset(0);
  #isWriting = false;
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: CrashMemoryParts) {
    this.#parts = parts;
  }

  /** Follows the log stream until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const wasRead = await this.#readPage();
      if (!wasRead) await sleep(RETRY_MILLISECONDS);
    }
  }

  /** Stops {@link run} after the read in progress. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Whether no content is suspected, so that no digests are needed. */
  get isEmpty(): boolean {
    return this.#quarantine.isEmpty;
  }

  /**
   * Returns how long a request stays quarantined.
   * @param suspects What of it may crash engines.
   * @returns The time until it may run again; `undefined` if it may run now.
   */
  remainingQuarantine(suspects: readonly Suspect[]): Duration | undefined {
    const now = this.#parts.clock.now();
    const times = suspects.flatMap(({ content }) =>
      this.#quarantine.remainingTime(now, content) ?? []
    );
    return times.length === 0 ? undefined : milliseconds(Math.max(...times));
  }

  /**
   * Records that a content may have crashed an engine.
   * @param suspicion The content and the run of the engine.
   */
  recordSuspicion(suspicion: CrashSuspicion): void {
    this.#parts.logger.info("A request may have crashed an engine.", {
      engine: suspicion.server,
      content: suspicion.content,
      ran_for: Math.round(suspicion.ranFor),
    });
    this.#add({ kind: "suspected", suspicion });
  }

  /**
   * Records that a request was served completely. The parts of its prompt are
   * cleared only of crashes before it began: sound ones may come to crash.
   * @param begunAt When it began to run.
   * @param suspects What of it might have crashed engines.
   */
  recordServed(begunAt: Instant, suspects: readonly Suspect[]): void {
    const now = this.#parts.clock.now();
    for (const { content, partPosition } of suspects) {
      const isPart = partPosition !== undefined;
      const run = {
        begunAt: isPart ? begunAt : now,
        lasted: MAXIMUM_SUSPECT_RUN_TIME,
      };
      const cleared = this.#quarantine.recordSurvival(run, [content]);
      if (cleared.length === 0) continue;
      if (!isPart) this.#add({ kind: "served", content });
      else for (const key of cleared) this.#add({ kind: "cleared", key });
    }
  }

  #add(record: CrashRecord): void {
    this.#apply(record);
    if (this.#unwritten.length >= MAXIMUM_UNWRITTEN_RECORDS) {
      this.#unwritten.shift();
    }
    this.#unwritten.push(record);
    if (!this.#isWriting) void this.#write();
  }

  #apply(record: CrashRecord): void {
    const now = this.#parts.clock.now();
    switch (record.kind) {
      case "served":
        this.#quarantine.recordSurvival(
          { begunAt: now, lasted: MAXIMUM_SUSPECT_RUN_TIME },
          [record.content],
        );
        break;
      case "cleared":
        this.#quarantine.dropSuspicion(record.key);
        break;
      case "suspected":
        this.#quarantine.addSuspicion(now, record.suspicion);
    }
    this.#quarantine.expire(now);
    this.#logNewlyQuarantined();
  }

  #logNewlyQuarantined(): void {
    const contents = this.#quarantine.quarantinedContents(
      this.#parts.clock.now(),
    );
    for (const content of contents) {
      if (this.#quarantinedContents.has(content)) continue;
      this.#parts.logger.warn(
        "Requests with a content that crashes engines are refused.",
        {
          content,
        },
      );
    }
    this.#quarantinedContents = contents;
  }

  async #write(): Promise<void> {
    this.#isWriting = true;
    while (this.#unwritten.length > 0 && !this.#isStopped) {
      const records = [...this.#unwritten];
      const appended = await this.#parts.log.append(
        CRASH_STREAM,
        records.map(formatCrashRecord),
      );
      if (appended.isErr()) await sleep(RETRY_MILLISECONDS);
      else this.#dropWritten(records);
    }
    this.#isWriting = false;
  }

  #dropWritten(records: readonly CrashRecord[]): void {
    const written = new Set(records);
    const left = this.#unwritten.filter((record) => !written.has(record));
    this.#unwritten.splice(0, this.#unwritten.length, ...left);
  }

  async #readPage(): Promise<boolean> {
    const page = await this.#parts.log.read(CRASH_STREAM, {
      from: this.#nextOffset,
      limit: PAGE_RECORDS,
      waitMilliseconds: LONG_POLL_MILLISECONDS,
    });
    if (page.isErr() || this.#isStopped) return this.#isStopped;
    const { records, firstKept } = page.value;
    this.#nextOffset = logOffset(Math.max(this.#nextOffset, firstKept));
    for (const record of records) this.#applyStored(record);
    return true;
  }

  #applyStored({ offset, data }: LogRecord): void {
    this.#nextOffset = logOffset(offset + 1);
    const record = parseCrashRecord(data);
    if (record.isOk()) this.#apply(record.value);
    else {
      this.#parts.logger.warn("A crash record is corrupt.", {
        offset,
        detail: record.error,
      });
    }
  }
}
