import * as z from "zod";
import type { Command } from "./command.ts";
import { targetAnswerSchema } from "./target_options.ts";
import { defineTargetedGroup } from "./targeted_group.ts";

const listSchema = z.object({
  offset: z.number(),
  classes: z.array(z.object({
    class: z.string(),
    target: targetAnswerSchema,
    version: z.number(),
    author: z.string(),
  })),
});

/** Lists, sets and removes classes. */
export const CLASSES_COMMAND: Command = defineTargetedGroup({
  one: "class",
  many: "classes",
  describe: "Classes of work and their targets",
  describeRemove: "Remove a class; requests in progress are finished",
  list: (client) => client.get("classes", listSchema),
  rows: ({ classes }) => classes.map((row) => ({ ...row, name: row.class })),
});
