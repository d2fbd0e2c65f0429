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
  Target,
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

/** The base of a change to an item that does not exist. */
export const NO_VERSION = -1 as LogOffset;

/**
 * How far back a record's base may lie. Removed items are remembered for as
 * long, so that a late record cannot bring one back unnoticed; beyond it the
 * record is refused. Nearly two days at 36,000 changes a day.
 */
export const BASE_WINDOW = 65_536;

interface RemovedItem {
  readonly item: ItemKey;
  readonly offset: LogOffset;
}

/**
 * The configuration in force, built from the records of the log in the order
 * of their offsets, never backwards.
 */
export class Configuration {
  readonly #rules: ConfigurationRules;
  #state = new ConfigurationState();
  #recent = new RecentChanges();
  #digest = new StateDigest();
  #removed: RemovedItem[] = [];
  #offset = NO_VERSION;

  /** @param rules The decisions, as they are unless a run breaks one. */
  constructor(rules: ConfigurationRules = new ConfigurationRules()) {
    this.#rules = rules;
  }

  /** The offset of the last record that was read, accepted or not. */
  get offset(): LogOffset {
    return this.#offset;
  }

  /** The classes by id. */
  get classes(): ReadonlyMap<ClassId, Target> {
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

  /** The services by id. */
  get services(): ReadonlyMap<ServiceId, Target> {
    return this.#state.services;
  }

  /** Where each item comes from, removed ones included. */
  get origins(): ReadonlyMap<ItemKey, ItemOrigin> {
    return this.#state.origins;
  }

  /** The latest changes and what became of them. */
  get recent(): Pick<RecentChanges, "all" | "find" | "latest" | "size"> {
    return this.#recent;
  }

  /** A digest of all that decides about later records. */
  get digest(): string {
    return this.#digest.text;
  }

  /**
   * Tells which change made an item as it is.
   * @param item The item.
   * @returns The offset of its last accepted change, or -1.
   */
  versionOf(item: ItemKey): LogOffset {
    return this.#state.origins.get(item)?.offset ?? NO_VERSION;
  }

  /**
   * Reads an item as the change that would make it.
   * @param item The item.
   * @returns The change, which removes the item where there is none.
   */
  changeThatMakes(item: ItemKey): ConfigurationChange {
    return this.#state.changeThatMakes(item);
  }

  /**
   * Applies the next record of the log.
   * @param offset The record's offset, above all before.
   * @param record The record.
   * @returns Whether it is accepted; the same for every reader.
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
    for (const change of record.changes) this.#change(change, origin);
    return verdict;
  }

  /**
   * Passes over a record that changes nothing.
   * @param offset The record's offset.
   */
  skipTo(offset: LogOffset): void {
    assertInvariant(
      offset > this.#offset,
      "configuration_never_reverts",
      () => `Offset ${offset} comes after ${this.#offset}.`,
    );
    this.#offset = offset;
    this.#forgetRemoved();
  }

  /**
   * Becomes equal to another configuration that covers more. Those who hold
   * this one go on with it.
   * @param other The other one, which must not be used afterwards.
   */
  become(other: Configuration): void {
    this.skipTo(other.#offset);
    this.#state = other.#state;
    this.#recent = other.#recent;
    this.#digest = other.#digest;
    this.#removed = other.#removed;
  }

  /**
   * Takes over an item and its origin from a snapshot.
   * @param change The change that makes the item.
   * @param origin Where it comes from.
   */
  restoreItem(change: ConfigurationChange, origin: ItemOrigin): void {
    this.#change(change, origin);
  }

  /**
   * Takes over a remembered change from a snapshot.
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
      if (this.#rules.baseHolds(origin.offset, record.base)) continue;
      const { author, change: winner } = origin;
      return {
        kind: "conflict",
        item,
        winner: origin.offset,
        author,
        change: winner,
      };
    }
    return { kind: "accepted" };
  }

  #remember(change: RecentChange): void {
    this.#digest.toggle(changeLine(change));
    const forgotten = this.#recent.remember(change);
    if (forgotten !== undefined) this.#digest.toggle(changeLine(forgotten));
  }

  #change(change: ConfigurationChange, origin: ItemOrigin): void {
    const item = itemKeyOf(change);
    this.#toggleItem(item);
    this.#state.change(change, origin);
    this.#toggleItem(item);
    if (change.kind.startsWith("remove_")) {
      this.#removed.push({ item, offset: origin.offset });
    }
  }

  #toggleItem(item: ItemKey): void {
    const origin = this.#state.origins.get(item);
    if (origin === undefined) return;
    this.#digest.toggle(itemLine(this.changeThatMakes(item), origin));
  }

  #forgetRemoved(): void {
    const oldest = this.#offset - BASE_WINDOW;
    let forgotten = 0;
    for (const { item, offset } of this.#removed) {
      if (offset >= oldest) break;
      forgotten += 1;
      if (this.versionOf(item) !== offset) continue;
      this.#toggleItem(item);
      this.#state.origins.delete(item);
    }
    if (forgotten > 0) this.#removed = this.#removed.slice(forgotten);
  }
}

function summaryOf(record: ConfigurationRecord): string {
  const [first] = record.changes;
  const item = first === undefined ? "" : itemKeyOf(first);
  const more = record.changes.length - 1;
  return more === 0 ? item : `${item} and ${more} more`;
}
