import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import {
  type DifferencesResponse,
  formatDifferences,
  MAXIMUM_CHANGES_PER_RECORD,
  readDifferences,
} from "../client/differences.ts";
import type { NodeClient } from "../client/node_client.ts";
import {
  type PublishResponse,
  publishUntilConfirmed,
} from "../client/publish.ts";
import { loadConfigurationFile } from "../files/load_configuration_file.ts";
import { type Command, type CommandResult, defineCommand } from "./command.ts";
import { addWriteOptions, type WriteOptions } from "./write_options.ts";

/** Publishes the changes in a file that are not in force yet. */
export const CONFIGURATION_PUBLISH_COMMAND: Command = defineCommand({
  command: "publish <file>",
  describe: "Publish what an INI file says and is not in force yet",
  options: (parser) =>
    addWriteOptions(parser)
      .positional("file", { type: "string", demandOption: true })
      .option("dry-run", {
        type: "boolean",
        default: false,
        describe: "Only show what would change",
      }),
  async run(options, client) {
    const changes = loadConfigurationFile(options.file);
    if (changes.isErr()) return err(changes.error);
    const response = await readDifferences(client, changes.value);
    if (response.isErr()) return err(response.error);
    const differences = response.value;
    if (options.dryRun || differences.differences.length === 0) {
      return ok({ json: differences, text: formatDifferences(differences) });
    }
    return await publishDifferences(client, options, { differences });
  },
});

async function publishDifferences(
  client: NodeClient,
  options: WriteOptions,
  { differences }: { readonly differences: DifferencesResponse },
): Promise<CommandResult> {
  const id = options.id ?? randomUUID();
  const base = options.base ?? differences.offset;
  const changes = differences.differences.map((row) => row.change);
  const accepted: PublishResponse[] = [];
  for (
    let start = 0;
    start < changes.length;
    start += MAXIMUM_CHANGES_PER_RECORD
  ) {
    const response = await publishUntilConfirmed(client, {
      id: start === 0 ? id : `${id}.${start / MAXIMUM_CHANGES_PER_RECORD}`,
      author: options.author,
      base,
      changes: changes.slice(start, start + MAXIMUM_CHANGES_PER_RECORD),
    });
    if (response.isErr()) {
      const { message } = response.error;
      const acceptedNote = accepted.length === 0
        ? ""
        : ` ${accepted.length} records before it were accepted.`;
      return err({ ...response.error, message: message + acceptedNote });
    }
    accepted.push(response.value);
  }
  const last = accepted.at(-1)?.offset ?? base;
  return ok({
    json: { accepted, differences: differences.differences },
    text: `${formatDifferences(differences)}\n` +
      `Accepted at offset ${last} (change ${id}).`,
  });
}
