import * as z from "zod";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand, defineGroup } from "./command.ts";

const listSchema = z.object({
  quarantines: z.array(z.object({
    content: z.string(),
    remaining_seconds: z.number(),
  })),
});

const liftSchema = z.object({ content: z.string() });

const LIST_COMMAND: Command = defineCommand({
  command: "list",
  describe: "List the contents and parts of prompts that a relay refuses",
  options: (parser) => parser,
  async run(_options, client) {
    const response = await client.get("quarantines", listSchema);
    return response.map((body) => ({
      json: body,
      text: formatTable(
        ["content", "seconds left"],
        body.quarantines.map((row) => [row.content, row.remaining_seconds]),
      ),
    }));
  },
});

const LIFT_COMMAND: Command = defineCommand({
  command: "lift <content>",
  describe: "Let a content or part be served again, at all relays",
  options: (parser) =>
    parser.positional("content", {
      type: "string",
      demandOption: true,
      describe: "As listed, or as a refused request's log line names it",
    }),
  async run({ content }, client) {
    const response = await client.call({
      method: "DELETE",
      path: `quarantines/${encodeURIComponent(content)}`,
      responseSchema: liftSchema,
    });
    return response.map((body) => ({
      json: body,
      text: `${body.content} is served again.`,
    }));
  },
});

/** Shows what relays refuse for crashing servers, and lifts it. */
export const QUARANTINES_COMMAND: Command = defineGroup({
  command: "quarantines",
  describe: "Requests that relays refuse because they crash servers; --node " +
    "names a relay's address for metrics",
  commands: [LIST_COMMAND, LIFT_COMMAND],
});
