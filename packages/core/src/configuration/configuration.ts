import {
  type AdapterId,
  type AdapterVersion,
  assertInvariant,
  type ClassId,
  type LogOffset,
  type ModelId,
  type ServiceId,
  type TenantId,
} from "../shared/mod.ts";
import type {
  ConfigurationChange,
  ConfigurationRecord,
  Target,
} from "./change.ts";
import { type ItemKey, itemKeyOf } from "./item_key.ts";

/** An adapter as configured. */
export interface ConfiguredAdapter {
  readonly adapter: AdapterId;
  readonly model: ModelId;
  readonly versions: readonly AdapterVersion[];
  /** What a request gets that names no version. */
  readonly current: AdapterVersion;
}

/** What became of a record. Every reader of the log comes to the same. */
export type RecordVerdict =
  | { readonly kind: "accepted" }
  | {
    readonly kind: "conflict";
    readonly item: ItemKey;
    /** The offset of the change that came first. */
    readonly winner: LogOffset;
  };

/** The base of a change to an item that does not exist. */
export const NO_VERSION = -1 as LogOffset;

/**
 * The configuration in force, built from the records of the log in the order
 * of their offsets, never backwards.
 */
export class Configuration {
  readonly #classes = new Map<ClassId, Target>();
  readonly #tenants = new Set<TenantId>();
  readonly #adapters = new Map<AdapterId, ConfiguredAdapter>();
  readonly #services = new Map<ServiceId, Target>();
  readonly #versions = new Map<ItemKey, LogOffset>();
  #offset = -1 as LogOffset;

  /** The offset of the last record that was read, accepted or not. */
  get offset(): LogOffset {
    return this.#offset;
  }

  /** The classes by id. */
  get classes(): ReadonlyMap<ClassId, Target> {
    return this.#classes;
  }

  /** The tenants. */
  get tenants(): ReadonlySet<TenantId> {
    return this.#tenants;
  }

  /** The adapters by id. */
  get adapters(): ReadonlyMap<AdapterId, ConfiguredAdapter> {
    return this.#adapters;
  }

  /** The services by id. */
  get services(): ReadonlyMap<ServiceId, Target> {
    return this.#services;
  }

  /**
   * Tells which change made an item as it is.
   * @param item The item.
   * @returns The offset of its last accepted change, or -1.
   */
  versionOf(item: ItemKey): LogOffset {
    return this.#versions.get(item) ?? NO_VERSION;
  }

  /**
   * Applies the next record of the log.
   * @param offset The record's offset, above all before.
   * @param record The record.
   * @returns Whether it is accepted; the same for every reader.
   */
  apply(offset: LogOffset, record: ConfigurationRecord): RecordVerdict {
    this.skipTo(offset);
    for (const change of record.changes) {
      const item = itemKeyOf(change);
      const version = this.versionOf(item);
      if (version > record.base) {
        return { kind: "conflict", item, winner: version };
      }
    }
    for (const change of record.changes) this.#change(change, offset);
    return { kind: "accepted" };
  }

  /**
   * Passes over a record that cannot be read.
   * @param offset The record's offset.
   */
  skipTo(offset: LogOffset): void {
    assertInvariant(
      offset > this.#offset,
      "configuration_never_reverts",
      () => `Offset ${offset} comes after ${this.#offset}.`,
    );
    this.#offset = offset;
  }

  #change(change: ConfigurationChange, offset: LogOffset): void {
    this.#versions.set(itemKeyOf(change), offset);
    switch (change.kind) {
      case "set_class":
        this.#classes.set(change.class, change.target);
        break;
      case "remove_class":
        this.#classes.delete(change.class);
        break;
      case "set_tenant":
        this.#tenants.add(change.tenant);
        break;
      case "remove_tenant":
        this.#tenants.delete(change.tenant);
        break;
      case "set_adapter":
        this.#adapters.set(change.adapter, change);
        break;
      case "remove_adapter":
        this.#adapters.delete(change.adapter);
        break;
      case "set_service":
        this.#services.set(change.service, change.target);
        break;
      case "remove_service":
        this.#services.delete(change.service);
        break;
    }
  }
}
