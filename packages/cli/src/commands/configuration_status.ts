import * as z from "zod";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand } from "./command.ts";

const statusSchema = z.object({
  offset: z.number(),
  nodes: z.array(z.object({
    node: z.string(),
    state: z.string(),
    offset: z.number().optional(),
    behind: z.number().optional(),
    source: z.string().optional(),
    corrupt_records: z.number().optional(),
    note: z.string().optional(),
  })),
});

/** Shows the configuration offset in force at each node. */
export const CONFIGURATION_STATUS_COMMAND: Command = defineCommand({
  command: "status",
  describe: "Show the offset in force at each node",
  options: (parser) => parser,
  async run(_options, client) {
    const response = await client.get("configuration/status", statusSchema);
    return response.map((body) => {
      const table = formatTable(
        ["node", "state", "offset", "behind", "corrupt", "reads from", "note"],
        body.nodes.map((row) => [
          row.node,
          row.state,
          row.offset,
          row.behind,
          row.corrupt_records,
          row.source,
          row.note,
        ]),
      );
      const unreachable = body.nodes
        .filter((row) => row.state === "unreachable").map((row) => row.node);
      return {
        json: body,
        text: unreachable.length === 0
          ? table
          : `${table}\nUnreachable: ${unreachable.join(", ")}.`,
      };
    });
  },
});
