import * as z from "zod";
import type { ChangeId, LogOffset } from "../shared/mod.ts";
import {
  type ConfigurationChange,
  configurationRecordSchema,
} from "./change.ts";
import type { ItemOrigin } from "./configuration_state.ts";
import type { ItemKey } from "./item_key.ts";
import type { RecentChange } from "./recent_changes.ts";

const offset = z.number().int().min(-1).transform((value) =>
  value as LogOffset
);
const changeId = z.string().transform((value) => value as ChangeId);

const verdictSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("accepted") }),
  z.object({
    kind: z.literal("conflict"),
    item: z.string().transform((value) => value as ItemKey),
    winner: offset,
    author: z.string(),
    change: changeId,
  }),
  z.object({
    kind: z.literal("base_out_of_range"),
    oldest: offset,
    newest: offset,
  }),
]);

/** The form of a snapshot's lines: an item, or a remembered change. */
export const snapshotLineSchema = z.discriminatedUnion("line", [
  z.object({
    line: z.literal("item"),
    origin: z.object({ offset, author: z.string(), change: changeId }),
    change: configurationRecordSchema.shape.changes.transform((changes) =>
      changes[0]
    ),
  }),
  z.object({
    line: z.literal("change"),
    recent: z.object({
      id: changeId,
      offset,
      author: z.string(),
      summary: z.string(),
      fingerprint: z.number(),
      verdict: verdictSchema,
    }),
  }),
]);

/**
 * Writes an item as a snapshot's line; equal items give equal texts.
 * @param change The change that makes the item.
 * @param origin Where it comes from.
 * @returns One line of JSON.
 */
export function itemLine(
  change: ConfigurationChange,
  origin: ItemOrigin,
): string {
  const { offset: at, author, change: by } = origin;
  return JSON.stringify({
    line: "item",
    origin: { offset: at, author, change: by },
    change: [change],
  });
}

/**
 * Writes a remembered change as a snapshot's line.
 * @param recent The change.
 * @returns One line of JSON.
 */
export function changeLine(recent: RecentChange): string {
  return JSON.stringify({ line: "change", recent });
}
