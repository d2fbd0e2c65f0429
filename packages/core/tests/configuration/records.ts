import {
  configurationRecordSchema,
  formatConfigurationRecord,
  logOffset,
  type StoredRecord,
} from "@foxtailwind/core";

/** The fields of a test record; omitted ones have defaults. */
export interface RecordFields {
  readonly id?: string;
  readonly author?: string;
  readonly base?: number;
  readonly changes: readonly object[];
}

/**
 * Creates a record as stored in the log.
 * @param offset Its offset.
 * @param fields Its fields.
 * @returns The record.
 */
export function storedRecord(
  offset: number,
  fields: RecordFields,
): StoredRecord {
  const record = configurationRecordSchema.parse({
    id: `change-${offset}`,
    author: "operator",
    base: offset - 1,
    ...fields,
  });
  return {
    offset: logOffset(offset),
    data: formatConfigurationRecord(record),
  };
}

/**
 * Creates a change that sets a class.
 * @param name The class.
 * @param firstTokenMilliseconds Its target for the first token.
 * @returns The change.
 */
export function setClass(name: string, firstTokenMilliseconds: number): object {
  return { kind: "set_class", class: name, target: { firstTokenMilliseconds } };
}
