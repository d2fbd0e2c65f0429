import * as z from "zod";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand } from "./command.ts";

const enginesSchema = z.object({
  engines: z.array(z.object({
    engine: z.string(),
    address: z.string(),
    model: z.string(),
    failure_domain: z.string(),
    state: z.string(),
    checks_fencing: z.boolean(),
  })),
});

/** Lists the engines. */
export const ENGINES_COMMAND: Command = defineCommand({
  command: "engines",
  describe: "List the model engines",
  options: (parser) => parser,
  async run(_options, client) {
    const response = await client.get("engines", enginesSchema);
    return response.map((body) => ({
      json: body,
      text: formatTable(
        ["engine", "address", "model", "failure domain", "state", "fencing"],
        body.engines.map((row) => [
          row.engine,
          row.address,
          row.model,
          row.failure_domain,
          row.state,
          row.checks_fencing ? "checked" : "ignored",
        ]),
      ),
    }));
  },
});
