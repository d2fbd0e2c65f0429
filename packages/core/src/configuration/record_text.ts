import { err, ok, type Result } from "neverthrow";
import type { Failure } from "../shared/mod.ts";
import {
  type ConfigurationRecord,
  configurationRecordSchema,
} from "./change.ts";

/** The log's stream of configuration records. */
export const CONFIGURATION_STREAM = "configuration";

/**
 * Reads a record's text, as the log keeps it.
 * @param text JSON.
 * @returns The record, or why it cannot be read.
 */
export function parseConfigurationRecord(
  text: string,
): Result<ConfigurationRecord, Failure> {
  try {
    const parsed = configurationRecordSchema.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
    const issue = parsed.error.issues[0];
    const where = issue?.path.join(".") ?? "";
    return err(corrupt(`Record does not match at "${where}".`));
  } catch {
    return err(corrupt("Record is not JSON."));
  }
}

/**
 * Writes a record as the log keeps it.
 * @param record The record.
 * @returns JSON.
 */
export function formatConfigurationRecord(
  record: ConfigurationRecord,
): string {
  return JSON.stringify(record);
}

function corrupt(message: string): Failure {
  return {
    reason: "corrupt",
    step: "read_log",
    peer: "log",
    message,
    outcome: "not_run",
  };
}
