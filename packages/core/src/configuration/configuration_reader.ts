import type { LogOffset } from "../shared/mod.ts";
import { Configuration } from "./configuration.ts";
import { ConfigurationRules } from "./configuration_rules.ts";
import {
  parseConfigurationRecord,
  type SnapshotManifest,
} from "./record_text.ts";
import type { RecordVerdict } from "./verdict.ts";

const REMEMBERED_DIGESTS = 4_096;

/** A record as it lies in the log. */
export interface StoredRecord {
  readonly offset: LogOffset;
  readonly data: string;
}

/** Why a reader reads no further. */
export interface Halt {
  readonly offset: LogOffset;
  readonly format: number;
  readonly newestFormat: number;
}

/** What reading one record came to. */
export type RecordReading =
  | { readonly kind: "read"; readonly verdict: RecordVerdict }
  | { readonly kind: "manifest"; readonly matches: boolean | undefined }
  | { readonly kind: "corrupt"; readonly message: string }
  | { readonly kind: "already_read" }
  | { readonly kind: "halted" };

/**
 * Reads the configuration stream record by record and keeps the configuration
 * in force. Two readers of the same records come to the same, whatever way
 * the records reached them.
 */
export class ConfigurationReader {
  readonly #rules: ConfigurationRules;
  readonly #digests = new Map<LogOffset, string>();
  readonly #configuration: Configuration;
  #halt: Halt | undefined;
  #corruptRecords = 0;
  #mismatchedSnapshots = 0;
  #lastManifest: SnapshotManifest | undefined;
  #recordsSinceManifest = 0;

  /** @param rules The decisions, as they are unless a run breaks one. */
  constructor(rules: ConfigurationRules = new ConfigurationRules()) {
    this.#rules = rules;
    this.#configuration = new Configuration(rules);
  }

  /** The configuration in force; always the same object. */
  get configuration(): Configuration {
    return this.#configuration;
  }

  /** The lowest offset that is not read yet. */
  get next(): LogOffset {
    return (this.#configuration.offset + 1) as LogOffset;
  }

  /** Why nothing more is read, where that is so. */
  get halt(): Halt | undefined {
    return this.#halt;
  }

  /** How many records could not be read. */
  get corruptRecords(): number {
    return this.#corruptRecords;
  }

  /** How many snapshots of others were not equal to what was read here. */
  get mismatchedSnapshots(): number {
    return this.#mismatchedSnapshots;
  }

  /** The newest snapshot seen in the stream. */
  get lastManifest(): SnapshotManifest | undefined {
    return this.#lastManifest;
  }

  /** How many records came after the newest snapshot seen. */
  get recordsSinceManifest(): number {
    return this.#recordsSinceManifest;
  }

  /**
   * Tells whether records from an offset on can be read without a gap.
   * @param from Where they start.
   * @returns Whether none is missing between.
   */
  joins(from: LogOffset): boolean {
    return this.#rules.joins(from, this.next);
  }

  /**
   * Reads the next record; one that was read before changes nothing.
   * @param stored The record.
   * @returns What became of it.
   */
  read(stored: StoredRecord): RecordReading {
    const { offset, data } = stored;
    if (this.#halt !== undefined) return { kind: "halted" };
    if (!this.#rules.isUnread(offset, this.next)) {
      return { kind: "already_read" };
    }
    const { newestFormat } = this.#rules;
    const text = parseConfigurationRecord(data, newestFormat);
    if (text.kind === "newer" && this.#rules.atNewerFormat() === "halt") {
      this.#halt = { offset, format: text.format, newestFormat };
      return { kind: "halted" };
    }
    const reading = this.#take(offset, text);
    this.#keepDigest(offset);
    return reading;
  }

  /**
   * Takes over a configuration that covers more than is read here.
   * @param configuration The configuration, from a snapshot or a peer.
   */
  adopt(configuration: Configuration): void {
    this.#configuration.become(configuration);
    this.#halt = undefined;
    this.#digests.clear();
    this.#keepDigest(configuration.offset);
  }

  #take(
    offset: LogOffset,
    text: ReturnType<typeof parseConfigurationRecord>,
  ): RecordReading {
    switch (text.kind) {
      case "changes":
        this.#recordsSinceManifest += 1;
        return {
          kind: "read",
          verdict: this.#configuration.apply(offset, text.record),
        };
      case "manifest":
        this.#configuration.skipTo(offset);
        return { kind: "manifest", matches: this.#verify(text.manifest) };
      case "newer":
        this.#configuration.skipTo(offset);
        return { kind: "corrupt", message: `Format ${text.format}.` };
      case "corrupt":
        this.#configuration.skipTo(offset);
        this.#corruptRecords += 1;
        return { kind: "corrupt", message: text.message };
    }
  }

  #verify(manifest: SnapshotManifest): boolean | undefined {
    const own = this.#digests.get(manifest.covers);
    const matches = own === undefined ? undefined : own === manifest.digest;
    if (matches === false) {
      this.#mismatchedSnapshots += 1;
      return matches;
    }
    const { covers } = this.#lastManifest ?? { covers: -1 };
    if (manifest.covers > covers) {
      this.#lastManifest = manifest;
      this.#recordsSinceManifest = this.#configuration.offset - manifest.covers;
    }
    return matches;
  }

  #keepDigest(offset: LogOffset): void {
    this.#digests.set(offset, this.#configuration.digest);
    if (this.#digests.size <= REMEMBERED_DIGESTS) return;
    const [oldest] = this.#digests.keys();
    if (oldest !== undefined) this.#digests.delete(oldest);
  }
}
