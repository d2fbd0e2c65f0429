import {
  type Configuration,
  CONFIGURATION_STREAM,
  type LogOffset,
  logOffset,
  milliseconds,
  parseConfigurationRecord,
  SNAPSHOT_STREAM,
  type SnapshotManifest,
  SnapshotRestorer,
  type StoredRecord,
} from "@foxtailwind/core";
import type { LogClient, LogPage } from "@foxtailwind/edges";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { ConfigurationStore } from "./configuration_store.ts";
import { unpackChunk } from "./snapshot_packing.ts";

const PAGE_RECORDS = 1_000;

/** Reads the configuration from the platform's log. */
export class LogSource {
  readonly #log: LogClient;
  readonly #store: ConfigurationStore;
  readonly #logger: ComponentLogger;
  #firstKept = logOffset(0);

  /**
   * @param log The log.
   * @param parts The store to fill and the logger.
   */
  constructor(log: LogClient, parts: {
    readonly store: ConfigurationStore;
    readonly logger: ComponentLogger;
  }) {
    this.#log = log;
    this.#store = parts.store;
    this.#logger = parts.logger;
  }

  /** The oldest offset that the log retains, as of the last read here. */
  get firstKept(): LogOffset {
    return this.#firstKept;
  }

  /**
   * Reads one page, or restores a snapshot if the log no longer retains the
   * next records.
   * @param waitMilliseconds How long to wait at the tail.
   * @returns Whether the log answered and its answer was usable.
   */
  async readOnce(waitMilliseconds: number): Promise<boolean> {
    const from = this.#store.reader.nextOffset;
    const page = await this.#readPage(from, waitMilliseconds);
    if (page === undefined) return false;
    this.#firstKept = page.firstKept;
    const isContiguous = page.firstKept <= from;
    const reachesTail = lastOffset(page, from) + 1 >= page.tail;
    const wasRead = isContiguous && this.#store.addRange({
      from,
      records: page.records,
      age: reachesTail ? milliseconds(0) : undefined,
    });
    return wasRead || await this.#restoreFromSnapshot(page.firstKept);
  }

  async #restoreFromSnapshot(firstKept: LogOffset): Promise<boolean> {
    const retained = await this.#readRetained(firstKept);
    for (const manifest of findManifests(retained).reverse()) {
      if (manifest.covers + 1 < firstKept) continue;
      const configuration = await this.#readSnapshot(manifest);
      if (configuration === undefined) continue;
      this.#store.adopt(configuration);
      return true;
    }
    this.#logger.error(
      "The log has neither all records nor a usable snapshot.",
      {
        peer: "log",
        step: "read_log",
        offset: firstKept,
      },
    );
    return false;
  }

  async #readRetained(firstKept: LogOffset): Promise<readonly StoredRecord[]> {
    const records: StoredRecord[] = [];
    let from = firstKept;
    for (;;) {
      const page = await this.#readPage(from, 0);
      if (page === undefined || page.records.length === 0) return records;
      records.push(...page.records);
      from = logOffset(lastOffset(page, from) + 1);
      if (from >= page.tail) return records;
    }
  }

  async #readSnapshot(
    manifest: SnapshotManifest,
  ): Promise<Configuration | undefined> {
    const restorer = new SnapshotRestorer();
    for (const from of manifest.chunks) {
      const page = await this.#log.read(SNAPSHOT_STREAM, {
        from,
        limit: 1,
        waitMilliseconds: 0,
      });
      const stored = page.unwrapOr(undefined)?.records[0];
      if (stored?.offset !== from) return undefined;
      const chunk = unpackChunk(stored.data);
      if (chunk === undefined || restorer.push(chunk).isErr()) return undefined;
    }
    return restorer.finish().unwrapOr(undefined);
  }

  async #readPage(
    from: LogOffset,
    waitMilliseconds: number,
  ): Promise<LogPage | undefined> {
    const page = await this.#log.read(CONFIGURATION_STREAM, {
      from,
      limit: PAGE_RECORDS,
      waitMilliseconds,
    });
    if (page.isOk()) return page.value;
    this.#logger.warn("Reading the configuration from the log failed.", {
      peer: page.error.peer,
      step: page.error.step,
    });
    return undefined;
  }
}

function lastOffset(page: LogPage, from: LogOffset): number {
  return page.records.at(-1)?.offset ?? from - 1;
}

function findManifests(records: readonly StoredRecord[]): SnapshotManifest[] {
  return records.flatMap(({ data }) => {
    const record = parseConfigurationRecord(data);
    return record.kind === "manifest" ? [record.manifest] : [];
  });
}
