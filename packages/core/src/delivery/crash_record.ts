import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { CrashSuspicion } from "../relay/mod.ts";
import {
  type BackendServerId,
  backendServerId,
  type ContentDigest,
  contentDigest,
  type EngineId,
  milliseconds,
} from "../shared/mod.ts";

/** The log stream that holds what nodes know of contents that end engines. */
export const CRASH_STREAM = "crashing-contents";

/** Something that a node has seen of a content. */
export type CrashRecord =
  /** A run of an engine may have ended under it. */
  | { readonly kind: "suspected"; readonly suspicion: CrashSuspicion }
  /** It was served to its end. */
  | { readonly kind: "served"; readonly content: ContentDigest };

const contentSchema = z.string().min(1).transform(contentDigest);

const recordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("suspected"),
    suspicion: z.object({
      content: contentSchema,
      server: z.string().min(1).transform(backendServerId),
      ranFor: z.number().nonnegative().transform(milliseconds),
    }),
  }),
  z.object({ kind: z.literal("served"), content: contentSchema }),
]);

/**
 * Names a run of an engine, which counts as a server of its own: engines tell
 * their starts apart by ids without an order.
 * @param engine The engine.
 * @param bootId The id of its start.
 * @returns The run.
 */
export function engineRun(engine: EngineId, bootId: string): BackendServerId {
  return backendServerId(`${engine}/${bootId}`);
}

/**
 * Gives a record as the text that the log keeps.
 * @param record The record.
 * @returns The text.
 */
export function formatCrashRecord(record: CrashRecord): string {
  return JSON.stringify(record);
}

/**
 * Reads a record from the log.
 * @param data The text.
 * @returns The record, or what is wrong with it.
 */
export function parseCrashRecord(data: string): Result<CrashRecord, string> {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(data));
    return parsed.success ? ok(parsed.data) : err(parsed.error.message);
  } catch {
    return err("The record is not JSON.");
  }
}
