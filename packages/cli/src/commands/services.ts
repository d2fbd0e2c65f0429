import * as z from "zod";
import type { Command } from "./command.ts";
import { latencyTargetSchema } from "./target_options.ts";
import { defineTargetedGroup } from "./targeted_group.ts";

const listSchema = z.object({
  offset: z.number(),
  services: z.array(z.object({
    service: z.string(),
    target: latencyTargetSchema,
    version: z.number(),
    author: z.string(),
  })),
});

/** Lists, sets and removes services. */
export const SERVICES_COMMAND: Command = defineTargetedGroup({
  singular: "service",
  plural: "services",
  describe: "Plain services and their targets",
  removeDescription: "Remove a service; requests in progress are finished",
  list: (client) => client.get("services", listSchema),
  toRows: ({ services }) =>
    services.map((row) => ({ ...row, name: row.service })),
});
