import * as z from "zod";
import type { LogOffset } from "../shared/mod.ts";
import {
  type ConfigurationRecord,
  configurationRecordSchema,
  RECORD_FORMAT,
} from "./change.ts";

/** The log stream that holds configuration records. */
export const CONFIGURATION_STREAM = "configuration";

/** The maximum size of a serialized record, in bytes. */
export const MAXIMUM_RECORD_BYTES = 262_144;

const offsetSchema = z.number().int().min(-1).transform((value) =>
  value as LogOffset
);

const manifestSchema = z.object({
  covers: offsetSchema,
  digest: z.string(),
  /** The offsets of the chunks in the snapshot stream, in order. */
  chunks: z.array(offsetSchema).min(1),
});

const formatSchema = z.looseObject({
  format: z.number().int().positive().default(RECORD_FORMAT),
});

/** The location of a complete snapshot in the log. */
export type SnapshotManifest = z.output<typeof manifestSchema>;

/** The result of parsing a record. */
export type ParsedRecord =
  | { readonly kind: "changes"; readonly record: ConfigurationRecord }
  | { readonly kind: "manifest"; readonly manifest: SnapshotManifest }
  | { readonly kind: "newer"; readonly format: number }
  | { readonly kind: "corrupt"; readonly message: string };

/**
 * Parses a record as stored in the log.
 * @param text The record as JSON.
 * @param newestFormat The newest format that is supported.
 * @returns The parsed record. A record without a readable format is corrupt
 * for every release; one of a newer format is not validated at all.
 */
export function parseConfigurationRecord(
  text: string,
  newestFormat = RECORD_FORMAT,
): ParsedRecord {
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
 * Serializes a record for the log.
 * @param record The record.
 * @returns JSON.
 */
export function formatConfigurationRecord(
  record: ConfigurationRecord,
): string {
  return JSON.stringify({ format: RECORD_FORMAT, ...record });
}

/**
 * Serializes a manifest for the log.
 * @param manifest The manifest.
 * @returns JSON.
 */
export function formatSnapshotManifest(manifest: SnapshotManifest): string {
  return JSON.stringify({ format: RECORD_FORMAT, snapshot: manifest });
}

function corrupt(error: z.ZodError): ParsedRecord {
  const [issue] = error.issues;
  const path = issue?.path.join(".") ?? "";
  return {
    kind: "corrupt",
    message: `Record does not match at "${path}": ${issue?.message ?? ""}.`,
  };
}
