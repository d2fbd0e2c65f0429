import * as z from "zod";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand, defineGroup } from "./command.ts";
import { addWriteOptions, publishChanges } from "./write_options.ts";

const DEFAULT_LIMIT = 100;

const listSchema = z.object({
  offset: z.number(),
  total: z.number(),
  adapters: z.array(z.object({
    adapter: z.string(),
    model: z.string(),
    versions: z.array(z.string()),
    current: z.string(),
    version: z.number(),
    author: z.string(),
  })),
});

const LIST_COMMAND = defineCommand({
  command: "list",
  describe: "List the adapters, their versions and the current one",
  options: (parser) =>
    parser
      .option("after", {
        type: "string",
        default: "",
        describe: "Start after this adapter",
      })
      .option("limit", { type: "number", default: DEFAULT_LIMIT })
      .option("model", { type: "string", describe: "Only of this model" }),
  async run(options, client) {
    const query = new URLSearchParams({
      after: options.after,
      limit: String(options.limit),
      ...(options.model !== undefined && { model: options.model }),
    });
    const response = await client.get(
      `adapters?${query.toString()}`,
      listSchema,
    );
    return response.map((body) => ({
      json: body,
      text: formatTable(
        ["adapter", "model", "versions", "current", "changed at", "by"],
        body.adapters.map((row) => [
          row.adapter,
          row.model,
          row.versions.join(" "),
          row.current,
          row.version,
          row.author,
        ]),
      ) + `\n${body.adapters.length} of ${body.total}.`,
    }));
  },
});

const SET_COMMAND = defineCommand({
  command: "set <adapter>",
  describe: "Make an adapter, or change its versions or the current one",
  options: (parser) =>
    addWriteOptions(parser)
      .positional("adapter", { type: "string", demandOption: true })
      .option("model", {
        type: "string",
        demandOption: true,
        describe: "The base model that the adapter is for",
      })
      .option("versions", {
        type: "string",
        array: true,
        demandOption: true,
        describe: "The versions that requests may name",
      })
      .option("current", {
        type: "string",
        demandOption: true,
        describe: "What a request gets that names no version",
      }),
  run: (options, client) =>
    publishChanges(client, options, {
      changes: [{
        kind: "set_adapter",
        adapter: options.adapter,
        model: options.model,
        versions: options.versions,
        current: options.current,
      }],
    }),
});

const REMOVE_COMMAND = defineCommand({
  command: "remove <adapter>",
  describe: "Remove an adapter; requests in progress are finished",
  options: (parser) =>
    addWriteOptions(parser).positional("adapter", {
      type: "string",
      demandOption: true,
    }),
  run: (options, client) =>
    publishChanges(client, options, {
      changes: [{ kind: "remove_adapter", adapter: options.adapter }],
    }),
});

/** Lists, sets and removes adapters. */
export const ADAPTERS_COMMAND: Command = defineGroup({
  command: "adapters",
  describe: "Adapters and their versions",
  commands: [LIST_COMMAND, SET_COMMAND, REMOVE_COMMAND],
});
