import type { LogOffset } from "../shared/mod.ts";
import { Configuration } from "./configuration.ts";
import { ConfigurationRules } from "./configuration_rules.ts";
import {
  parseConfigurationRecord,
  type SnapshotManifest,
} from "./record_codec.ts";
import type { RecordVerdict } from "./verdict.ts";

const MAXIMUM_KEPT_DIGESTS = 4_096;

/** A record as stored in the log. */
export interface StoredRecord {
  readonly offset: LogOffset;
  readonly data: string;
}

/** Why a reader stopped: a record's format is too new for this release. */
export interface Halt {
  readonly offset: LogOffset;
  readonly format: number;
  readonly newestFormat: number;
}

/** The outcome of reading one record. */
export type RecordReading =
  | { readonly kind: "read"; readonly verdict: RecordVerdict }
  | { readonly kind: "manifest"; readonly matches: boolean | undefined }
  | { readonly kind: "corrupt"; readonly message: string }
  | { readonly kind: "already_read" }
  | { readonly kind: "halted" };

/**
 * Reads the configuration stream record by record and maintains the
 * configuration in force. Readers of the same records reach the same state,
 * regardless of how the records reached them.
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

  /** @param rules The decision rules; randomised tests break single ones. */
  constructor(rules: ConfigurationRules = new ConfigurationRules()) {
    this.#rules = rules;
    this.#configuration = new Configuration(rules);
  }

  /** The configuration in force; always the same object. */
  get configuration(): Configuration {
    return this.#configuration;
  }

  /** The lowest unread offset. */
  get nextOffset(): LogOffset {
    return (this.#configuration.offset + 1) as LogOffset;
  }

  /** Why the reader stopped; undefined while it reads on. */
  get halt(): Halt | undefined {
    return this.#halt;
  }

  /** The number of records that could not be parsed. */
  get corruptRecords(): number {
    return this.#corruptRecords;
  }

  /** The number of snapshots whose digest differs from this reader's own. */
  get mismatchedSnapshots(): number {
    return this.#mismatchedSnapshots;
  }

  /** The manifest of the newest snapshot seen in the stream. */
  get lastManifest(): SnapshotManifest | undefined {
    return this.#lastManifest;
  }

  /** The number of records since the newest snapshot seen. */
  get recordsSinceManifest(): number {
    return this.#recordsSinceManifest;
  }

  /**
   * Checks whether records from an offset on can be read without a gap.
   * @param from The offset of the first record.
   * @returns Whether no record is missing before it.
   */
  isContiguous(from: LogOffset): boolean {
    return this.#rules.isContiguous(from, this.nextOffset);
  }

  /**
   * Reads the next record. Records that were already read are ignored.
   * @param stored The record.
   * @returns The outcome.
   */
  read(stored: StoredRecord): RecordReading {
    const { offset, data } = stored;
    if (this.#halt !== undefined) return { kind: "halted" };
    if (!this.#rules.isUnread(offset, this.nextOffset)) {
      return { kind: "already_read" };
    }
    const { newestFormat } = this.#rules;
    const parsed = parseConfigurationRecord(data, newestFormat);
    if (parsed.kind === "newer" && this.#rules.onNewerFormat() === "halt") {
      this.#halt = { offset, format: parsed.format, newestFormat };
      return { kind: "halted" };
    }
    const reading = this.#applyParsed(offset, parsed);
    this.#keepDigest(offset);
    return reading;
  }

  /**
   * Replaces the configuration by one that covers more records.
   * @param configuration The configuration, from a snapshot or a peer.
   */
  adopt(configuration: Configuration): void {
    this.#configuration.replaceWith(configuration);
    this.#halt = undefined;
    this.#digests.clear();
    this.#keepDigest(configuration.offset);
  }

  #applyParsed(
    offset: LogOffset,
    parsed: ReturnType<typeof parseConfigurationRecord>,
  ): RecordReading {
    switch (parsed.kind) {
      case "changes":
        this.#recordsSinceManifest += 1;
        return {
          kind: "read",
          verdict: this.#configuration.apply(offset, parsed.record),
        };
      case "manifest":
        this.#configuration.skipTo(offset);
        return {
          kind: "manifest",
          matches: this.#verifyManifest(parsed.manifest),
        };
      case "newer":
        this.#configuration.skipTo(offset);
        return { kind: "corrupt", message: `Format ${parsed.format}.` };
      case "corrupt":
        this.#configuration.skipTo(offset);
        this.#corruptRecords += 1;
        return { kind: "corrupt", message: parsed.message };
    }
  }

  #verifyManifest(manifest: SnapshotManifest): boolean | undefined {
    const ownDigest = this.#digests.get(manifest.covers);
    const matches = ownDigest === undefined
      ? undefined
      : ownDigest === manifest.digest;
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
    if (this.#digests.size <= MAXIMUM_KEPT_DIGESTS) return;
    const [oldest] = this.#digests.keys();
    if (oldest !== undefined) this.#digests.delete(oldest);
  }
}
