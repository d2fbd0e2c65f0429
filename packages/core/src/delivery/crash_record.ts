import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { CrashSuspicion, SuspicionKey } from "../relay/mod.ts";
import {
  type BackendServerId,
  backendServerId,
  type ContentDigest,
  contentDigest,
  type EngineId,
  milliseconds,
} from "../shared/mod.ts";

/** The log stream with records of request contents that crash engines. */
export const CRASH_STREAM = "crashing-contents";

/** What a node has observed about a request content. */
export type CrashRecord =
  /** An engine may have crashed while it ran the content. */
  | { readonly kind: "suspected"; readonly suspicion: CrashSuspicion }
  /** The content was served to completion. */
  | { readonly kind: "served"; readonly content: ContentDigest }
  /** A suspicion was disproved. */
  | { readonly kind: "cleared"; readonly key: SuspicionKey };

const contentSchema = z.string().min(1).transform(contentDigest);

const recordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("suspected"),
    suspicion: z.object({
      content: contentSchema,
      server: z.string().min(1).transform(backendServerId),
      ranFor: z.number().nonnegative().transform(milliseconds),
      partPosition: z.number().int().nonnegative().exactOptional(),
    }),
  }),
  z.object({
    kind: z.literal("cleared"),
    key: z.object({
      content: contentSchema,
      server: z.string().min(1).transform(backendServerId),
    }),
  }),
  z.object({ kind: z.literal("served"), content: contentSchema }),
]);

/**
 * Makes the id of one run of an engine. Each run counts as a server of its own,
 * since engines identify their starts by ids that have no order.
 * @param engine The engine.
 * @param bootId The id of the engine's start.
 * @returns The id of the run.
 */
export function engineRun(engine: EngineId, bootId: string): BackendServerId {
  return backendServerId(`${engine}/${bootId}`);
}

/**
 * Serialises a record for the log.
 * @param record The record.
 * @returns The record as JSON.
 */
export function formatCrashRecord(record: CrashRecord): string {
  return JSON.stringify(record);
}

/**
 * Parses a record from the log.
 * @param data The JSON text.
 * @returns The record, or why the text is invalid.
 */
export function parseCrashRecord(data: string): Result<CrashRecord, string> {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(data));
    return parsed.success ? ok(parsed.data) : err(parsed.error.message);
  } catch {
    return err("The record is not valid JSON.");
  }
}
