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

/** Publishes what a file says and is not yet in force. */
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
    const found = await readDifferences(client, changes.value);
    if (found.isErr()) return err(found.error);
    const differences = found.value;
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
    let from = 0;
    from < changes.length;
    from += MAXIMUM_CHANGES_PER_RECORD
  ) {
    const answer = await publishUntilConfirmed(client, {
      id: from === 0 ? id : `${id}.${from / MAXIMUM_CHANGES_PER_RECORD}`,
      author: options.author,
      base,
      changes: changes.slice(from, from + MAXIMUM_CHANGES_PER_RECORD),
    });
    if (answer.isErr()) {
      const { message } = answer.error;
      const before = accepted.length === 0
        ? ""
        : ` ${accepted.length} records before it were accepted.`;
      return err({ ...answer.error, message: message + before });
    }
    accepted.push(answer.value);
  }
  const last = accepted.at(-1)?.offset ?? base;
  return ok({
    json: { accepted, differences: differences.differences },
    text: `${formatDifferences(differences)}\n` +
      `Accepted at offset ${last} (change ${id}).`,
  });
}
