import { ok, type Result } from "neverthrow";
import * as z from "zod";
import type { CommandFailure } from "../command_failure.ts";
import { formatTable } from "../output/table.ts";
import type { NodeClient } from "./node_client.ts";

/** How many changes a record carries at most. */
export const MAXIMUM_CHANGES_PER_RECORD = 500;

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
export type DifferencesResponse = z.output<typeof differencesSchema>;

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
): Promise<Result<DifferencesResponse, CommandFailure>> {
  const differences: DifferencesResponse["differences"] = [];
  let offset = Number.POSITIVE_INFINITY;
  for (
    let start = 0;
    start < changes.length;
    start += MAXIMUM_CHANGES_PER_RECORD
  ) {
    const response = await client.call({
      method: "POST",
      path: "configuration/diff",
      body: {
        changes: changes.slice(start, start + MAXIMUM_CHANGES_PER_RECORD),
      },
      responseSchema: differencesSchema,
    });
    if (response.isErr()) return response;
    differences.push(...response.value.differences);
    offset = Math.min(offset, response.value.offset);
  }
  return ok({ offset, differences });
}

/**
 * Writes differences for people.
 * @param response The differences.
 * @returns A table, or that there are none.
 */
export function formatDifferences(response: DifferencesResponse): string {
  if (response.differences.length === 0) {
    return `Nothing differs from offset ${response.offset}.`;
  }
  const table = formatTable(
    ["item", "in force", "in the file"],
    response.differences.map((row) => [row.item, row.before, row.after]),
  );
  return `${table}\n${response.differences.length} differ from offset ${response.offset}.`;
}
