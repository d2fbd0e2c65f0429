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
  classes: z.array(z.object({
    class: z.string(),
    target: targetAnswerSchema,
    version: z.number(),
    author: z.string(),
  })),
});

const list = defineCommand({
  command: "list",
  describe: "List the classes and their targets",
  options: (parser) => parser,
  async run(_options, client) {
    const answer = await client.get("classes", listSchema);
    return answer.map((found) => ({
      json: found,
      text: formatTable(
        ["class", ...TARGET_COLUMNS, "changed at", "by"],
        found.classes.map((row) => [
          row.class,
          ...targetCells(row.target),
          row.version,
          row.author,
        ]),
      ),
    }));
  },
});

const set = defineCommand({
  command: "set <class>",
  describe: "Make a class, or change its target",
  options: (parser) =>
    targetOptions(parser).positional("class", {
      type: "string",
      demandOption: true,
    }),
  run: (options, client) =>
    publishChanges(client, options, {
      changes: [{
        kind: "set_class",
        class: options.class,
        target: targetOf(options),
      }],
    }),
});

const remove = defineCommand({
  command: "remove <class>",
  describe: "Remove a class; requests in progress are finished",
  options: (parser) =>
    writeOptions(parser).positional("class", {
      type: "string",
      demandOption: true,
    }),
  run: (options, client) =>
    publishChanges(client, options, {
      changes: [{ kind: "remove_class", class: options.class }],
    }),
});

/** Lists, sets and removes classes. */
export const CLASSES_COMMAND: ReturnType<typeof defineGroup> = defineGroup({
  command: "classes",
  describe: "Classes of work and their targets",
  commands: [list, set, remove],
});
