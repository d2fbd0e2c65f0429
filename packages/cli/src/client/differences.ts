import { ok, type Result } from "neverthrow";
import * as z from "zod";
import type { CommandFailure } from "../command_failure.ts";
import { formatTable } from "../output/table.ts";
import type { NodeClient } from "./node_client.ts";

/** How many changes a record carries at most. */
export const CHANGES_A_RECORD = 500;

const differencesSchema = z.object({
  offset: z.number(),
  differences: z.array(z.object({
    item: z.string(),
    before: z.string(),
    after: z.string(),
    change: z.looseObject({ kind: z.string() }),
  })),
});

/** What publishing would change, against the configuration at one offset. */
export type Differences = z.output<typeof differencesSchema>;

/**
 * Asks a node what changes would change.
 * @param client The node.
 * @param changes The changes.
 * @returns Those that differ from what is in force, and the lowest offset
 * that they were compared at.
 */
export async function readDifferences(
  client: NodeClient,
  changes: readonly object[],
): Promise<Result<Differences, CommandFailure>> {
  const differences: Differences["differences"] = [];
  let offset = Number.POSITIVE_INFINITY;
  for (let from = 0; from < changes.length; from += CHANGES_A_RECORD) {
    const part = await client.call({
      method: "POST",
      path: "configuration/diff",
      body: { changes: changes.slice(from, from + CHANGES_A_RECORD) },
      answer: differencesSchema,
    });
    if (part.isErr()) return part;
    differences.push(...part.value.differences);
    offset = Math.min(offset, part.value.offset);
  }
  return ok({ offset, differences });
}

/**
 * Writes differences for people.
 * @param found The differences.
 * @returns A table, or that there are none.
 */
export function formatDifferences(found: Differences): string {
  if (found.differences.length === 0) {
    return `Nothing differs from offset ${found.offset}.`;
  }
  const table = formatTable(
    ["item", "in force", "in the file"],
    found.differences.map((row) => [row.item, row.before, row.after]),
  );
  return `${table}\n${found.differences.length} differ from offset ${found.offset}.`;
}
