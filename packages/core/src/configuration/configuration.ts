import {
  type AdapterId,
  assertInvariant,
  type ClassId,
  type LogOffset,
  type ServiceId,
  type TenantId,
} from "../shared/mod.ts";
import type {
  ConfigurationChange,
  ConfigurationRecord,
  LatencyTarget,
} from "./change.ts";
import { ConfigurationRules } from "./configuration_rules.ts";
import {
  ConfigurationState,
  type ConfiguredAdapter,
  type ItemOrigin,
} from "./configuration_state.ts";
import { type ItemKey, itemKeyOf } from "./item_key.ts";
import { type RecentChange, RecentChanges } from "./recent_changes.ts";
import { changeLine, itemLine } from "./snapshot_line.ts";
import { fingerprintOf, StateDigest } from "./state_digest.ts";
import type { FirstVerdict, RecordVerdict } from "./verdict.ts";

/** The version of an absent item, and the base of a change that creates it. */
export const NO_VERSION = -1 as LogOffset;

/**
 * How many offsets a record's base may lag behind the record; older bases are
 * refused. Removed items are remembered for as long, so that a late record
 * cannot recreate one undetected. Nearly two days at 36,000 changes a day.
 */
export const BASE_WINDOW = 65_536;

interface RemovedItem {
  readonly item: ItemKey;
  readonly offset: LogOffset;
}

/**
 * The configuration in force, built by applying the records of the log in
 * strictly increasing order of their offsets.
 */
export class Configuration {
  readonly #rules: ConfigurationRules;
  #state = new ConfigurationState();
  #recent = new RecentChanges();
  #digest = new StateDigest();
  #removedItems: RemovedItem[] = [];
  #offset = NO_VERSION;

  /** @param rules The decision rules; randomised tests break single ones. */
  constructor(rules: ConfigurationRules = new ConfigurationRules()) {
    this.#rules = rules;
  }

  /** The offset of the last record read, whether accepted or not. */
  get offset(): LogOffset {
    return this.#offset;
  }

  /** The latency targets of classes by id. */
  get classes(): ReadonlyMap<ClassId, LatencyTarget> {
    return this.#state.classes;
  }

  /** The tenants. */
  get tenants(): ReadonlySet<TenantId> {
    return this.#state.tenants;
  }

  /** The adapters by id. */
  get adapters(): ReadonlyMap<AdapterId, ConfiguredAdapter> {
    return this.#state.adapters;
  }

  /** The latency targets of services by id. */
  get services(): ReadonlyMap<ServiceId, LatencyTarget> {
    return this.#state.services;
  }

  /** The change that last set each item, including removed items. */
  get origins(): ReadonlyMap<ItemKey, ItemOrigin> {
    return this.#state.origins;
  }

  /** The latest changes and their verdicts. */
  get recent(): Pick<RecentChanges, "all" | "find" | "latest" | "size"> {
    return this.#recent;
  }

  /** A digest of all state that affects verdicts on later records. */
  get digest(): string {
    return this.#digest.text;
  }

  /**
   * Returns the version of an item.
   * @param item The item.
   * @returns The offset of its last accepted change, or -1 if none is known.
   */
  versionOf(item: ItemKey): LogOffset {
    return this.#state.origins.get(item)?.offset ?? NO_VERSION;
  }

  /**
   * Returns an item's current state as the change that would produce it.
   * @param item The item.
   * @returns The change; a removal if the item does not exist.
   */
  stateAsChange(item: ItemKey): ConfigurationChange {
    return this.#state.stateAsChange(item);
  }

  /**
   * Applies the next record of the log.
   * @param offset The record's offset, higher than all before it.
   * @param record The record.
   * @returns The verdict; the same for every reader of the log.
   */
  apply(offset: LogOffset, record: ConfigurationRecord): RecordVerdict {
    this.skipTo(offset);
    const fingerprint = fingerprintOf(JSON.stringify(record.changes));
    const known = this.#recent.find(record.id);
    if (known !== undefined && this.#rules.isRepeat(true)) {
      return {
        kind: "repeated",
        first: known.offset,
        verdict: known.verdict,
        same: known.fingerprint === fingerprint,
      };
    }
    const verdict = this.#decide(offset, record);
    const { id, author } = record;
    const summary = summaryOf(record);
    this.#remember({ id, offset, author, summary, fingerprint, verdict });
    if (verdict.kind !== "accepted") return verdict;
    const origin: ItemOrigin = { offset, author, change: id };
    for (const change of record.changes) this.#applyChange(change, origin);
    return verdict;
  }

  /**
   * Advances past a record that changes nothing.
   * @param offset The record's offset.
   */
  skipTo(offset: LogOffset): void {
    assertInvariant(
      offset > this.#offset,
      "configuration_never_reverts",
      () => `Offset ${offset} does not exceed ${this.#offset}.`,
    );
    this.#offset = offset;
    this.#expireRemovedItems();
  }

  /**
   * Replaces this configuration's content by that of another one that covers
   * more records. References to this object stay valid.
   * @param other The other configuration, which must not be used afterwards.
   */
  replaceWith(other: Configuration): void {
    this.skipTo(other.#offset);
    this.#state = other.#state;
    this.#recent = other.#recent;
    this.#digest = other.#digest;
    this.#removedItems = other.#removedItems;
  }

  /**
   * Restores an item and its origin from a snapshot.
   * @param change The change that produces the item.
   * @param origin The change that last set the item.
   */
  restoreItem(change: ConfigurationChange, origin: ItemOrigin): void {
    this.#applyChange(change, origin);
  }

  /**
   * Restores a recent change from a snapshot.
   * @param change The change.
   */
  restoreChange(change: RecentChange): void {
    this.#remember(change);
  }

  #decide(offset: LogOffset, record: ConfigurationRecord): FirstVerdict {
    const oldest = Math.max(NO_VERSION, offset - BASE_WINDOW) as LogOffset;
    const newest = (offset - 1) as LogOffset;
    if (record.base < oldest || record.base > newest) {
      return { kind: "base_out_of_range", oldest, newest };
    }
    for (const change of record.changes) {
      const item = itemKeyOf(change);
      const origin = this.#state.origins.get(item);
      if (origin === undefined) continue;
      if (this.#rules.isBaseCurrent(origin.offset, record.base)) continue;
      const { author, change: winningChange } = origin;
      return {
        kind: "conflict",
        item,
        winner: origin.offset,
        author,
        change: winningChange,
      };
    }
    return { kind: "accepted" };
  }

  #remember(change: RecentChange): void {
    this.#digest.toggle(changeLine(change));
    const evicted = this.#recent.remember(change);
    if (evicted !== undefined) this.#digest.toggle(changeLine(evicted));
  }

  #applyChange(change: ConfigurationChange, origin: ItemOrigin): void {
    const item = itemKeyOf(change);
    this.#toggleItem(item);
    this.#state.apply(change, origin);
    this.#toggleItem(item);
    if (change.kind.startsWith("remove_")) {
      this.#removedItems.push({ item, offset: origin.offset });
    }
  }

  #toggleItem(item: ItemKey): void {
    const origin = this.#state.origins.get(item);
    if (origin === undefined) return;
    this.#digest.toggle(itemLine(this.stateAsChange(item), origin));
  }

  #expireRemovedItems(): void {
    const oldest = this.#offset - BASE_WINDOW;
    let expired = 0;
    for (const { item, offset } of this.#removedItems) {
      if (offset >= oldest) break;
      expired += 1;
      if (this.versionOf(item) !== offset) continue;
      this.#toggleItem(item);
      this.#state.origins.delete(item);
    }
    if (expired > 0) this.#removedItems = this.#removedItems.slice(expired);
  }
}

function summaryOf(record: ConfigurationRecord): string {
  const [first] = record.changes;
  const item = first === undefined ? "" : itemKeyOf(first);
  const otherCount = record.changes.length - 1;
  return otherCount === 0 ? item : `${item} and ${otherCount} more`;
}
