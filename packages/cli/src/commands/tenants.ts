import * as z from "zod";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand, defineGroup } from "./command.ts";
import { addWriteOptions, publishChanges } from "./write_options.ts";

const listSchema = z.object({
  offset: z.number(),
  tenants: z.array(z.object({
    tenant: z.string(),
    version: z.number(),
    author: z.string(),
  })),
});

const LIST_COMMAND = defineCommand({
  command: "list",
  describe: "List the tenants",
  options: (parser) => parser,
  async run(_options, client) {
    const response = await client.get("tenants", listSchema);
    return response.map((body) => ({
      json: body,
      text: formatTable(
        ["tenant", "changed at", "by"],
        body.tenants.map((row) => [row.tenant, row.version, row.author]),
      ),
    }));
  },
});

const ADD_COMMAND = defineCommand({
  command: "add <tenant>",
  describe: "Add a tenant",
  options: (parser) =>
    addWriteOptions(parser).positional("tenant", {
      type: "string",
      demandOption: true,
    }),
  run: (options, client) =>
    publishChanges(client, options, {
      changes: [{ kind: "set_tenant", tenant: options.tenant }],
    }),
});

const REMOVE_COMMAND = defineCommand({
  command: "remove <tenant>",
  describe: "Remove a tenant",
  options: (parser) =>
    addWriteOptions(parser).positional("tenant", {
      type: "string",
      demandOption: true,
    }),
  run: (options, client) =>
    publishChanges(client, options, {
      changes: [{ kind: "remove_tenant", tenant: options.tenant }],
    }),
});

/** Lists, adds and removes tenants. */
export const TENANTS_COMMAND: Command = defineGroup({
  command: "tenants",
  describe: "Tenants, who share a class fairly",
  commands: [LIST_COMMAND, ADD_COMMAND, REMOVE_COMMAND],
});
