import * as z from "zod";
import type { Command } from "./command.ts";
import { latencyTargetSchema } from "./target_options.ts";
import { defineTargetedGroup } from "./targeted_group.ts";

const listSchema = z.object({
  offset: z.number(),
  classes: z.array(z.object({
    class: z.string(),
    target: latencyTargetSchema,
    version: z.number(),
    author: z.string(),
  })),
});

/** Lists, sets and removes classes. */
export const CLASSES_COMMAND: Command = defineTargetedGroup({
  singular: "class",
  plural: "classes",
  describe: "Classes of work and their targets",
  removeDescription: "Remove a class; requests in progress are finished",
  list: (client) => client.get("classes", listSchema),
  toRows: ({ classes }) => classes.map((row) => ({ ...row, name: row.class })),
});
