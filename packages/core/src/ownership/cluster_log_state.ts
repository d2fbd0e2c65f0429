import { NO_OFFSET, type View, ViewRegister } from "../membership/mod.ts";
import { assertInvariant, type LogOffset, logOffset } from "../shared/mod.ts";
import {
  type ClusterRecord,
  parseClusterRecord,
  type SnapshotRecord,
} from "./cluster_record.ts";
import type { OwnershipRules } from "./rules.ts";
import { TenureRegister } from "./tenure_register.ts";

/** A record's text at its offset. */
export interface OffsetText {
  readonly offset: LogOffset;
  readonly data: string;
}

/** What applying a record did. */
export interface AppliedRecord {
  readonly offset: LogOffset;
  /** The record; absent where its text cannot be read. */
  readonly record?: ClusterRecord;
  readonly accepted: boolean;
}

/** Views and tenures, as the log's records decide them up to one offset. */
export class ClusterLogState {
  readonly views = new ViewRegister();
  readonly tenures: TenureRegister;
  readonly #rules: OwnershipRules;
  #next = logOffset(0);
  /** Records before the first usable snapshot, where older ones are gone. */
  #buffered: OffsetText[] | undefined;
  #lastSnapshot: LogOffset = NO_OFFSET;

  constructor(rules: OwnershipRules) {
    this.#rules = rules;
    this.tenures = new TenureRegister(rules);
  }

  /** The first offset that is not applied yet. */
  get next(): LogOffset {
    const buffered = this.#buffered?.at(-1);
    return buffered === undefined ? this.#next : logOffset(buffered.offset + 1);
  }

  /** The view in force. */
  get view(): View {
    return this.views.view;
  }

  /** Whether the records read so far give the state. */
  isComplete(): boolean {
    return this.#buffered === undefined;
  }

  /** How many records were applied since the last snapshot. */
  get recordsSinceSnapshot(): number {
    return this.#next - 1 - this.#lastSnapshot;
  }

  /**
   * Takes in that older records are gone from the log.
   * @param firstKept The oldest offset that is still kept.
   */
  skipLost(firstKept: LogOffset): void {
    if (firstKept <= this.next) return;
    this.#buffered = [];
    this.#next = firstKept;
  }

  /**
   * Applies the next record.
   * @param text The record.
   * @returns What it did, one entry for each record that is now applied.
   */
  apply(text: OffsetText): readonly AppliedRecord[] {
    if (!this.#rules.appliesOffset(text.offset, this.next)) return [];
    if (this.#buffered === undefined) return [this.#applyNow(text)];
    this.#buffered.push(text);
    return this.#tryRestore(text);
  }

  /**
   * Describes the whole state, to be appended ahead of retention.
   * @param id The new record's id.
   * @returns The snapshot.
   */
  snapshot(id: string): SnapshotRecord {
    const tenures = [...this.tenures.tenures];
    tenures.sort((left, right) => left.engine < right.engine ? -1 : 1);
    return {
      kind: "snapshot",
      id,
      covers: logOffset(this.#next - 1),
      views: this.views.state,
      tenures,
    };
  }

  #applyNow(text: OffsetText): AppliedRecord {
    const { offset } = text;
    assertInvariant(
      offset >= this.#next,
      "offsets_never_fall",
      () => `record ${offset} is applied after ${this.#next - 1}`,
    );
    this.#next = logOffset(offset + 1);
    const parsed = parseClusterRecord(text.data);
    if (parsed.isErr()) return { offset, accepted: false };
    const record = parsed.value;
    return { offset, record, accepted: this.#decide(offset, record) };
  }

  #decide(offset: LogOffset, record: ClusterRecord): boolean {
    switch (record.kind) {
      case "view": {
        const current = this.views.view.offset;
        const baseAccepted = this.#rules.acceptsBase(record.base, current);
        return this.views.apply(offset, record, { baseAccepted });
      }
      case "tenure":
        return this.tenures.apply(record, { offset, view: this.view });
      case "snapshot":
        this.#lastSnapshot = offset;
        return true;
    }
  }

  #tryRestore(text: OffsetText): readonly AppliedRecord[] {
    const parsed = parseClusterRecord(text.data);
    if (parsed.isErr() || parsed.value.kind !== "snapshot") return [];
    const snapshot = parsed.value;
    const buffered = this.#buffered ?? [];
    const firstBuffered = buffered[0]?.offset ?? text.offset;
    if (snapshot.covers + 1 < firstBuffered) return [];
    this.#buffered = undefined;
    this.views.restore(snapshot.views);
    this.tenures.restore(snapshot.tenures);
    this.#next = logOffset(snapshot.covers + 1);
    return buffered.filter((one) => one.offset > snapshot.covers)
      .map((one) => this.#applyNow(one));
  }
}
