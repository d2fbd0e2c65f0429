import * as z from "zod";
import { type Command, defineCommand } from "./command.ts";

const drainSchema = z.object({
  node: z.string(),
  state: z.string(),
  in_progress: z.number(),
});

/** Starts to drain the node that the command calls. */
export const DRAIN_COMMAND: Command = defineCommand({
  command: "drain",
  describe: "Drain the node that --node names: it takes no new work, and " +
    "finishes what is in progress",
  options: (parser) => parser,
  async run(_options, client) {
    const response = await client.call({
      method: "POST",
      path: "drain",
      responseSchema: drainSchema,
    });
    return response.map((drain) => ({
      json: drain,
      text:
        `${drain.node} is ${drain.state}, ${drain.in_progress} in progress.`,
    }));
  },
});
