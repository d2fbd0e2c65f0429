import * as z from "zod";
import type { Command } from "./command.ts";
import { targetAnswerSchema } from "./target_options.ts";
import { defineTargetedGroup } from "./targeted_group.ts";

const listSchema = z.object({
  offset: z.number(),
  services: z.array(z.object({
    service: z.string(),
    target: targetAnswerSchema,
    version: z.number(),
    author: z.string(),
  })),
});

/** Lists, sets and removes services. */
export const SERVICES_COMMAND: Command = defineTargetedGroup({
  one: "service",
  many: "services",
  describe: "Plain services and their targets",
  describeRemove: "Remove a service; requests in progress are finished",
  list: (client) => client.get("services", listSchema),
  rows: ({ services }) =>
    services.map((row) => ({ ...row, name: row.service })),
});
