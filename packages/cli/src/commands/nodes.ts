import * as z from "zod";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand } from "./command.ts";

const nodesSchema = z.object({
  nodes: z.array(z.object({
    node: z.string(),
    address: z.string(),
    region: z.string(),
    failure_domain: z.string(),
    state: z.string(),
  })),
});

/** Lists the nodes. */
export const NODES_COMMAND: Command = defineCommand({
  command: "nodes",
  describe: "List the nodes",
  options: (parser) => parser,
  async run(_options, client) {
    const answer = await client.get("nodes", nodesSchema);
    return answer.map((found) => ({
      json: found,
      text: formatTable(
        ["node", "address", "region", "failure domain", "state"],
        found.nodes.map((row) => [
          row.node,
          row.address,
          row.region,
          row.failure_domain,
          row.state,
        ]),
      ),
    }));
  },
});
