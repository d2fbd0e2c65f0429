import * as z from "zod";
import type { LogOffset } from "../shared/mod.ts";
import {
  type ConfigurationRecord,
  configurationRecordSchema,
  RECORD_FORMAT,
} from "./change.ts";

/** The log's stream of configuration records. */
export const CONFIGURATION_STREAM = "configuration";

/** How long a record's text is at most, in bytes. */
export const MAXIMUM_RECORD_BYTES = 262_144;

const offset = z.number().int().min(-1).transform((value) =>
  value as LogOffset
);

const manifestSchema = z.object({
  covers: offset,
  digest: z.string(),
  /** The offsets of the chunks in the stream of snapshots, in order. */
  chunks: z.array(offset).min(1),
});

const formatSchema = z.looseObject({
  format: z.number().int().positive().default(RECORD_FORMAT),
});

/** Says where a whole snapshot lies in the log. */
export type SnapshotManifest = z.output<typeof manifestSchema>;

/** What a record's text turns out to be. */
export type RecordText =
  | { readonly kind: "changes"; readonly record: ConfigurationRecord }
  | { readonly kind: "manifest"; readonly manifest: SnapshotManifest }
  | { readonly kind: "newer"; readonly format: number }
  | { readonly kind: "corrupt"; readonly message: string };

/**
 * Reads a record's text, as the log keeps it.
 * @param text JSON.
 * @param newestFormat The newest format that is understood.
 * @returns What it is. A text without a readable format is corrupt for every
 * release alike; one with a newer format is not judged at all.
 */
export function parseConfigurationRecord(
  text: string,
  newestFormat = RECORD_FORMAT,
): RecordText {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return { kind: "corrupt", message: "Record is not JSON." };
  }
  const envelope = formatSchema.safeParse(raw);
  if (!envelope.success) return corrupt(envelope.error);
  const { format } = envelope.data;
  if (format > newestFormat) return { kind: "newer", format };
  if (envelope.data["snapshot"] !== undefined) {
    const manifest = manifestSchema.safeParse(envelope.data["snapshot"]);
    if (!manifest.success) return corrupt(manifest.error);
    return { kind: "manifest", manifest: manifest.data };
  }
  const record = configurationRecordSchema.safeParse(raw);
  if (!record.success) return corrupt(record.error);
  return { kind: "changes", record: record.data };
}

/**
 * Writes a record as the log keeps it.
 * @param record The record.
 * @returns JSON.
 */
export function formatConfigurationRecord(
  record: ConfigurationRecord,
): string {
  return JSON.stringify({ format: RECORD_FORMAT, ...record });
}

/**
 * Writes a manifest as the log keeps it.
 * @param manifest The manifest.
 * @returns JSON.
 */
export function formatSnapshotManifest(manifest: SnapshotManifest): string {
  return JSON.stringify({ format: RECORD_FORMAT, snapshot: manifest });
}

function corrupt(error: z.ZodError): RecordText {
  const [issue] = error.issues;
  const where = issue?.path.join(".") ?? "";
  return {
    kind: "corrupt",
    message: `Record does not match at "${where}": ${issue?.message ?? ""}.`,
  };
}
