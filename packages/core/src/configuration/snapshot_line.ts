import * as z from "zod";
import type { ChangeId, LogOffset } from "../shared/mod.ts";
import {
  type ConfigurationChange,
  configurationRecordSchema,
} from "./change.ts";
import type { ItemOrigin } from "./configuration_state.ts";
import type { ItemKey } from "./item_key.ts";
import type { RecentChange } from "./recent_changes.ts";

const offsetSchema = z.number().int().min(-1).transform((value) =>
  value as LogOffset
);
const changeIdSchema = z.string().transform((value) => value as ChangeId);

const verdictSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("accepted") }),
  z.object({
    kind: z.literal("conflict"),
    item: z.string().transform((value) => value as ItemKey),
    winner: offsetSchema,
    author: z.string(),
    change: changeIdSchema,
  }),
  z.object({
    kind: z.literal("base_out_of_range"),
    oldest: offsetSchema,
    newest: offsetSchema,
  }),
]);

/** The schema of a snapshot's lines: an item or a recent change. */
export const snapshotLineSchema = z.discriminatedUnion("line", [
  z.object({
    line: z.literal("item"),
    origin: z.object({
      offset: offsetSchema,
      author: z.string(),
      change: changeIdSchema,
    }),
    change: configurationRecordSchema.shape.changes.transform((changes) =>
      changes[0]
    ),
  }),
  z.object({
    line: z.literal("change"),
    recent: z.object({
      id: changeIdSchema,
      offset: offsetSchema,
      author: z.string(),
      summary: z.string(),
      fingerprint: z.number(),
      verdict: verdictSchema,
    }),
  }),
]);

/**
 * Serializes an item as a line of a snapshot. Equal items produce equal lines.
 * @param change The change that produces the item.
 * @param origin The change that last set the item.
 * @returns One line of JSON.
 */
export function itemLine(
  change: ConfigurationChange,
  origin: ItemOrigin,
): string {
  const { offset, author, change: changeId } = origin;
  return JSON.stringify({
    line: "item",
    origin: { offset, author, change: changeId },
    change: [change],
  });
}

/**
 * Serializes a recent change as a line of a snapshot.
 * @param recent The change.
 * @returns One line of JSON.
 */
export function changeLine(recent: RecentChange): string {
  return JSON.stringify({ line: "change", recent });
}
