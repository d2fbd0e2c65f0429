import { NO_OFFSET, type View, ViewRegister } from "../membership/mod.ts";
import { assertInvariant, type LogOffset, logOffset } from "../shared/mod.ts";
import {
  type ClusterRecord,
  parseClusterRecord,
  type SnapshotRecord,
} from "./cluster_record.ts";
import type { OwnershipRules } from "./rules.ts";
import { TenureRegister } from "./tenure_register.ts";

/** A serialized record and its log offset. */
export interface LogEntry {
  readonly offset: LogOffset;
  readonly data: string;
}

/** The outcome of applying a record. */
export interface AppliedRecord {
  readonly offset: LogOffset;
  /** The record; absent if it cannot be parsed. */
  readonly record?: ClusterRecord;
  readonly accepted: boolean;
}

/** Views and tenures, computed by applying the log's records in order. */
export class ClusterLogState {
  readonly views = new ViewRegister();
  readonly tenures: TenureRegister;
  readonly #rules: OwnershipRules;
  #nextOffset = logOffset(0);
  /**
   * Records read before the first usable snapshot, after older records were
   * truncated from the log.
   */
  #buffered: LogEntry[] | undefined;
  #lastSnapshotOffset: LogOffset = NO_OFFSET;

  constructor(rules: OwnershipRules) {
    this.#rules = rules;
    this.tenures = new TenureRegister(rules);
  }

  /** The first offset that has not been read yet. */
  get nextOffset(): LogOffset {
    const buffered = this.#buffered?.at(-1);
    return buffered === undefined
      ? this.#nextOffset
      : logOffset(buffered.offset + 1);
  }

  /** The current view. */
  get view(): View {
    return this.views.view;
  }

  /** Whether the records read so far determine the full state. */
  isComplete(): boolean {
    return this.#buffered === undefined;
  }

  /** Number of offsets applied since the last snapshot. */
  get recordsSinceSnapshot(): number {
    return this.#nextOffset - 1 - this.#lastSnapshotOffset;
  }

  /**
   * Skips records that were truncated from the log; the state is rebuilt from
   * the next usable snapshot.
   * @param firstKept The oldest offset still in the log.
   */
  skipTruncated(firstKept: LogOffset): void {
    if (firstKept <= this.nextOffset) return;
    this.#buffered = [];
    this.#nextOffset = firstKept;
  }

  /**
   * Applies the next log entry.
   * @param entry The serialized record.
   * @returns One outcome for each record that was applied.
   */
  apply(entry: LogEntry): readonly AppliedRecord[] {
    if (!this.#rules.appliesOffset(entry.offset, this.nextOffset)) return [];
    if (this.#buffered === undefined) return [this.#applyNow(entry)];
    this.#buffered.push(entry);
    return this.#tryRestore(entry);
  }

  /**
   * Creates a snapshot of the whole state, so that log retention may remove
   * older records.
   * @param id The new record's id.
   * @returns The snapshot.
   */
  snapshot(id: string): SnapshotRecord {
    const tenures = [...this.tenures.tenures];
    tenures.sort((left, right) => left.engine < right.engine ? -1 : 1);
    return {
      kind: "snapshot",
      id,
      covers: logOffset(this.#nextOffset - 1),
      views: this.views.state,
      tenures,
    };
  }

  #applyNow(entry: LogEntry): AppliedRecord {
    const { offset } = entry;
    assertInvariant(
      offset >= this.#nextOffset,
      "offsets_never_fall",
      () => `record ${offset} is applied after ${this.#nextOffset - 1}`,
    );
    this.#nextOffset = logOffset(offset + 1);
    const parsed = parseClusterRecord(entry.data);
    if (parsed.isErr()) return { offset, accepted: false };
    const record = parsed.value;
    return { offset, record, accepted: this.#applyRecord(offset, record) };
  }

  #applyRecord(offset: LogOffset, record: ClusterRecord): boolean {
    switch (record.kind) {
      case "view": {
        const current = this.views.view.offset;
        const baseAccepted = this.#rules.acceptsBase(record.base, current);
        return this.views.apply(offset, record, { baseAccepted });
      }
      case "tenure":
        return this.tenures.apply(record, { offset, view: this.view });
      case "snapshot":
        this.#lastSnapshotOffset = offset;
        return true;
    }
  }

  #tryRestore(entry: LogEntry): readonly AppliedRecord[] {
    const parsed = parseClusterRecord(entry.data);
    if (parsed.isErr() || parsed.value.kind !== "snapshot") return [];
    const snapshot = parsed.value;
    const buffered = this.#buffered ?? [];
    const firstBuffered = buffered[0]?.offset ?? entry.offset;
    if (snapshot.covers + 1 < firstBuffered) return [];
    this.#buffered = undefined;
    this.views.restore(snapshot.views);
    this.tenures.restore(snapshot.tenures);
    this.#nextOffset = logOffset(snapshot.covers + 1);
    return buffered.filter((one) => one.offset > snapshot.covers)
      .map((one) => this.#applyNow(one));
  }
}
