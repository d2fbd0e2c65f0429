import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import {
  CHANGES_A_RECORD,
  type Differences,
  formatDifferences,
  readDifferences,
} from "../client/differences.ts";
import type { NodeClient } from "../client/node_client.ts";
import { type PublishAnswer, publishSettled } from "../client/publish.ts";
import { loadConfigurationFile } from "../files/load_configuration_file.ts";
import { type Command, type CommandResult, defineCommand } from "./command.ts";
import { type WriteOptions, writeOptions } from "./write_options.ts";

/** Publishes what a file says and is not yet in force. */
export const CONFIGURATION_PUBLISH_COMMAND: Command = defineCommand({
  command: "publish <file>",
  describe: "Publish what an INI file says and is not in force yet",
  options: (parser) =>
    writeOptions(parser)
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
  { differences }: { readonly differences: Differences },
): Promise<CommandResult> {
  const id = options.id ?? randomUUID();
  const base = options.base ?? differences.offset;
  const changes = differences.differences.map((row) => row.change);
  const accepted: PublishAnswer[] = [];
  for (let from = 0; from < changes.length; from += CHANGES_A_RECORD) {
    const answer = await publishSettled(client, {
      id: from === 0 ? id : `${id}.${from / CHANGES_A_RECORD}`,
      author: options.author,
      base,
      changes: changes.slice(from, from + CHANGES_A_RECORD),
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
