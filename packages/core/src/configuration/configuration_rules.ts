import type { LogOffset } from "../shared/mod.ts";
import { RECORD_FORMAT } from "./change.ts";

/**
 * The decisions on which the safety of the configuration depends, one method
 * each, so that randomised tests can break a single one and verify that a
 * check detects it.
 */
export class ConfigurationRules {
  /** The newest record format that is supported. */
  get newestFormat(): number {
    return RECORD_FORMAT;
  }

  /**
   * Checks whether a record is still unread.
   * @param offset The record's offset.
   * @param next The lowest unread offset.
   * @returns Whether to read it.
   */
  isUnread(offset: LogOffset, next: LogOffset): boolean {
    return offset >= next;
  }

  /**
   * Checks whether a change may replace an item.
   * @param version The offset of the item's last change.
   * @param base The offset of the configuration that the author saw.
   * @returns Whether the item has not changed since the base.
   */
  isBaseCurrent(version: LogOffset, base: LogOffset): boolean {
    return version <= base;
  }

  /**
   * Checks whether a record repeats one with the same id.
   * @param known Whether a record with this id was read before.
   * @returns Whether to treat the record as a repeat.
   */
  isRepeat(known: boolean): boolean {
    return known;
  }

  /**
   * Determines the offset that a snapshot covers.
   * @param offset The offset of the last record read.
   * @returns The offset to write into the snapshot.
   */
  snapshotCovers(offset: LogOffset): LogOffset {
    return offset;
  }

  /**
   * Determines how to handle a record of a newer format.
   * @returns Whether to stop reading or to skip the record.
   */
  onNewerFormat(): "halt" | "skip" {
    return "halt";
  }

  /**
   * Checks whether a page of records follows the read ones without a gap.
   * @param from The offset of the page's first record.
   * @param next The lowest unread offset.
   * @returns Whether no record is missing before the page.
   */
  isContiguous(from: LogOffset, next: LogOffset): boolean {
    return from <= next;
  }
}
