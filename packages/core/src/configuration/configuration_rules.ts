import type { LogOffset } from "../shared/mod.ts";
import { RECORD_FORMAT } from "./change.ts";

/**
 * The decisions on which the safety of the configuration rests, one method
 * each, so that randomised runs can break one and see that a check notices.
 */
export class ConfigurationRules {
  /** The newest record format that is understood. */
  get newestFormat(): number {
    return RECORD_FORMAT;
  }

  /**
   * Tells whether a record is still to be read.
   * @param offset The record's offset.
   * @param next The lowest offset that is not read yet.
   * @returns Whether to read it.
   */
  isUnread(offset: LogOffset, next: LogOffset): boolean {
    return offset >= next;
  }

  /**
   * Tells whether a change may replace an item.
   * @param version The offset of the item's last change.
   * @param base What the author looked at.
   * @returns Whether nobody came between.
   */
  baseHolds(version: LogOffset, base: LogOffset): boolean {
    return version <= base;
  }

  /**
   * Tells whether a known id settles a record.
   * @param known Whether the id was read before.
   * @returns Whether the record is only a repeat.
   */
  isRepeat(known: boolean): boolean {
    return known;
  }

  /**
   * Says which offset a snapshot covers.
   * @param offset The offset of the last record read.
   * @returns The offset to state.
   */
  snapshotCovers(offset: LogOffset): LogOffset {
    return offset;
  }

  /**
   * Says what to do at a record of a newer format.
   * @returns To read no further, or to pass over the record.
   */
  atNewerFormat(): "halt" | "skip" {
    return "halt";
  }

  /**
   * Tells whether a page follows what was read without a gap.
   * @param from Where the page starts.
   * @param next The lowest offset that is not read yet.
   * @returns Whether no record is missing between.
   */
  joins(from: LogOffset, next: LogOffset): boolean {
    return from <= next;
  }
}
