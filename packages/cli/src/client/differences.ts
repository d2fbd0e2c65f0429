import { ok, type Result } from "neverthrow";
import * as z from "zod";
import type { CommandFailure } from "../command_failure.ts";
import { formatTable } from "../output/table.ts";
import type { NodeClient } from "./node_client.ts";

/** The maximum number of changes in one record. */
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

/** What publishing would change, compared with the configuration in force. */
export type DifferencesResponse = z.output<typeof differencesSchema>;

/**
 * Asks a node which changes differ from the configuration in force.
 * @param client The node's client.
 * @param changes The changes to compare.
 * @returns The changes that differ, and the lowest configuration offset that
 * they were compared with.
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
 * Formats differences as text.
 * @param response The differences.
 * @returns A table, or a sentence if there are none.
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
