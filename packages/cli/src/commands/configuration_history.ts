import * as z from "zod";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand } from "./command.ts";

const DEFAULT_LIMIT = 20;

const historySchema = z.object({
  changes: z.array(z.object({
    id: z.string(),
    offset: z.number(),
    author: z.string(),
    summary: z.string(),
    verdict: z.string(),
    winner: z.number().optional(),
  })),
});

/** Shows the latest changes and whether they took effect. */
export const CONFIGURATION_HISTORY_COMMAND: Command = defineCommand({
  command: "history",
  describe: "Show the latest changes and what became of them",
  options: (parser) =>
    parser.option("limit", { type: "number", default: DEFAULT_LIMIT }),
  async run(options, client) {
    const response = await client.get(
      `configuration/history?limit=${options.limit}`,
      historySchema,
    );
    return response.map((body) => ({
      json: body,
      text: formatTable(
        ["offset", "by", "items", "verdict", "won by", "change"],
        body.changes.map((row) => [
          row.offset,
          row.author,
          row.summary,
          row.verdict,
          row.winner,
          row.id,
        ]),
      ),
    }));
  },
});
