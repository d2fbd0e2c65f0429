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
    const response = await client.get("nodes", nodesSchema);
    return response.map((body) => ({
      json: body,
      text: formatTable(
        ["node", "address", "region", "failure domain", "state"],
        body.nodes.map((row) => [
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
