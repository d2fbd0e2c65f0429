import {
  configurationRecordSchema,
  formatConfigurationRecord,
  logOffset,
  type StoredRecord,
} from "@foxtailwind/core";

/** What a record of a test says; the rest has defaults. */
export interface RecordPlan {
  readonly id?: string;
  readonly author?: string;
  readonly base?: number;
  readonly changes: readonly object[];
}

/**
 * Makes a record as it lies in the log.
 * @param offset Its offset.
 * @param plan What it says.
 * @returns The record.
 */
export function storedRecord(offset: number, plan: RecordPlan): StoredRecord {
  const record = configurationRecordSchema.parse({
    id: `change-${offset}`,
    author: "operator",
    base: offset - 1,
    ...plan,
  });
  return {
    offset: logOffset(offset),
    data: formatConfigurationRecord(record),
  };
}

/**
 * Makes a change of a class.
 * @param name The class.
 * @param firstTokenMilliseconds Its target.
 * @returns The change.
 */
export function setClass(name: string, firstTokenMilliseconds: number): object {
  return { kind: "set_class", class: name, target: { firstTokenMilliseconds } };
}
