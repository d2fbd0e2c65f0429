import {
  assertInvariant,
  ConfigurationReader,
  type ConfigurationRules,
  copyForSnapshot,
  formatSnapshotManifest,
  type LogOffset,
  logOffset,
  parseConfigurationRecord,
  restoreSnapshot,
  snapshotChunks,
  type SnapshotManifest,
  type StoredRecord,
} from "@foxtailwind/core";
import type { ConfigurationLog } from "./configuration_log.ts";
import type { ConfigurationReference } from "./configuration_reference.ts";

const WHOLE = 1_000_000;

/** A node of a randomised run: a reader that may restart and be upgraded. */
export class ConfigurationNode {
  readonly #log: ConfigurationLog;
  readonly #reference: ConfigurationReference;
  #rules: ConfigurationRules;
  #reader: ConfigurationReader;
  #kept: StoredRecord[] = [];
  #highest = -1;

  constructor(world: {
    readonly log: ConfigurationLog;
    readonly reference: ConfigurationReference;
    readonly rules: ConfigurationRules;
  }) {
    this.#log = world.log;
    this.#reference = world.reference;
    this.#rules = world.rules;
    this.#reader = new ConfigurationReader(world.rules);
  }

  /** The node's reader. */
  get reader(): ConfigurationReader {
    return this.#reader;
  }

  /** The offset in force. */
  get offset(): LogOffset {
    return this.#reader.configuration.offset;
  }

  /** Starts anew with nothing, as a VM without a disk does. */
  restart(rules: ConfigurationRules = this.#rules): void {
    this.#rules = rules;
    this.#reader = new ConfigurationReader(rules);
    this.#kept = [];
    this.#highest = -1;
  }

  /**
   * Reads some records from the log, or a snapshot where they are gone.
   * @param limit How many at most.
   */
  readLog(limit: number): void {
    if (this.#log.isOut || this.#reader.halt !== undefined) return;
    const from = Math.max(this.#log.firstKept, this.#reader.nextOffset);
    if (!this.#take(logOffset(from), this.#log.read(from, limit))) {
      this.#startFromSnapshot();
    }
  }

  /**
   * Takes records, some of them read before, that another node passes on.
   * @param peer The other node.
   * @param back How many records before this node's next one come too.
   */
  readPeer(peer: ConfigurationNode, back: number): void {
    const from = Math.max(0, this.#reader.nextOffset - back);
    const [oldest] = peer.#kept;
    if (oldest !== undefined && oldest.offset <= this.#reader.nextOffset) {
      const records = peer.#kept.filter(({ offset }) => offset >= from);
      this.#take(logOffset(Math.max(from, oldest.offset)), records);
    } else {
      this.#adopt(peer.#snapshot().chunks);
    }
  }

  /** Writes a snapshot and its manifest, unless this node has halted. */
  writeSnapshot(): void {
    const { configuration, halt } = this.#reader;
    if (this.#log.isOut || halt !== undefined || configuration.offset < 0) {
      return;
    }
    const { covers, digest, chunks } = this.#snapshot();
    this.#log.append(formatSnapshotManifest({
      covers,
      digest,
      chunks: [...this.#log.appendChunks(chunks)],
    }));
  }

  #snapshot() {
    const copy = copyForSnapshot(this.#reader.configuration, this.#rules);
    const { covers, digest } = copy;
    return { covers, digest, chunks: [...snapshotChunks(copy)] };
  }

  #take(from: LogOffset, records: readonly StoredRecord[]): boolean {
    if (!this.#reader.isContiguous(from)) return false;
    for (const record of records) {
      const reading = this.#reader.read(record);
      if (reading.kind === "halted") break;
      if (reading.kind === "already_read") continue;
      this.#kept.push(record);
      this.#check();
    }
    return true;
  }

  #startFromSnapshot(): void {
    const manifests = this.#log.read(this.#log.firstKept, WHOLE)
      .flatMap(({ data }): SnapshotManifest[] => {
        const text = parseConfigurationRecord(data, this.#rules.newestFormat);
        return text.kind === "manifest" ? [text.manifest] : [];
      });
    const usable = manifests.findLast(({ covers }) =>
      covers + 1 >= this.#log.firstKept
    );
    if (usable !== undefined) this.#adopt(this.#log.chunksAt(usable.chunks));
  }

  #adopt(chunks: readonly string[]): void {
    const restored = restoreSnapshot(chunks, this.#rules);
    if (restored.isErr() || restored.value.offset <= this.offset) return;
    this.#reader.adopt(restored.value);
    this.#kept = [];
    this.#check();
  }

  #check(): void {
    const { offset, digest } = this.#reader.configuration;
    assertInvariant(
      offset >= this.#highest,
      "configuration_never_reverts",
      () => `Offset ${offset} comes after ${this.#highest}.`,
    );
    this.#highest = offset;
    this.#reference.assertSame(offset, digest);
    assertInvariant(
      this.#reader.mismatchedSnapshots === 0,
      "configuration_snapshots_agree",
      () => `A snapshot in the log differs at offset ${offset}.`,
    );
  }
}
