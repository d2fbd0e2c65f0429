import { z } from "zod";
import { formatTable } from "../output/table.ts";
import { defineCommand, defineGroup } from "./command.ts";
import {
  TARGET_COLUMNS,
  targetAnswerSchema,
  targetCells,
  targetOf,
  targetOptions,
} from "./target_options.ts";
import { publishChanges, writeOptions } from "./write_options.ts";

const listSchema = z.object({
  offset: z.number(),
  services: z.array(z.object({
    service: z.string(),
    target: targetAnswerSchema,
    version: z.number(),
    author: z.string(),
  })),
});

const list = defineCommand({
  command: "list",
  describe: "List the services and their targets",
  options: (parser) => parser,
  async run(_options, client) {
    const answer = await client.get("services", listSchema);
    return answer.map((found) => ({
      json: found,
      text: formatTable(
        ["service", ...TARGET_COLUMNS, "changed at", "by"],
        found.services.map((row) => [
          row.service,
          ...targetCells(row.target),
          row.version,
          row.author,
        ]),
      ),
    }));
  },
});

const set = defineCommand({
  command: "set <service>",
  describe: "Make a service, or change its target",
  options: (parser) =>
    targetOptions(parser).positional("service", {
      type: "string",
      demandOption: true,
    }),
  run: (options, client) =>
    publishChanges(client, options, {
      changes: [{
        kind: "set_service",
        service: options.service,
        target: targetOf(options),
      }],
    }),
});

const remove = defineCommand({
  command: "remove <service>",
  describe: "Remove a service; requests in progress are finished",
  options: (parser) =>
    writeOptions(parser).positional("service", {
      type: "string",
      demandOption: true,
    }),
  run: (options, client) =>
    publishChanges(client, options, {
      changes: [{ kind: "remove_service", service: options.service }],
    }),
});

/** Lists, sets and removes services. */
export const SERVICES_COMMAND: ReturnType<typeof defineGroup> = defineGroup({
  command: "services",
  describe: "Plain services and their targets",
  commands: [list, set, remove],
});
