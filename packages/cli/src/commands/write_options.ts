import process from "node:process";
import { err, ok } from "neverthrow";
import type { Argv } from "yargs";
import type { NodeClient } from "../client/node_client.ts";
import { publishUntilConfirmed, readCurrentOffset } from "../client/publish.ts";
import type { CommandFailure } from "../command_failure.ts";
import type { CommandResult, GlobalOptions } from "./command.ts";

/** The options of commands that publish changes. */
export interface WriteOptions extends GlobalOptions {
  readonly author: string;
  readonly id: string | undefined;
  readonly base: number | undefined;
}

/**
 * Adds the options of commands that publish changes.
 * @param parser The command's parser.
 * @returns The parser with the options.
 */
export function addWriteOptions(
  parser: Argv<GlobalOptions>,
): Argv<WriteOptions> {
  return parser
    .option("author", {
      type: "string",
      default: process.env["USER"] ?? "operator",
      defaultDescription: "your user name",
      describe: "Who changes it; others see this in a conflict",
    })
    .option("id", {
      type: "string",
      describe: "The id of an earlier try, to learn what became of it",
    })
    .implies("id", "base")
    .option("base", {
      type: "number",
      describe: "Refuse where the item changed after this offset",
    });
}

/**
 * Publishes changes as one record and reports the result.
 * @param client The node's client.
 * @param options The author, and the id and base offset if given.
 * @param changes The changes.
 * @returns The output for the operator, or a failure.
 */
export async function publishChanges(
  client: NodeClient,
  options: WriteOptions,
  { changes }: { readonly changes: readonly object[] },
): Promise<CommandResult> {
  const { author, id } = options;
  const base = options.base === undefined
    ? await readCurrentOffset(client)
    : ok<number, CommandFailure>(options.base);
  if (base.isErr()) return err(base.error);
  const response = await publishUntilConfirmed(client, {
    changes,
    author,
    base: base.value,
    ...(id !== undefined && { id }),
  });
  return response.map((accepted) => ({
    json: accepted,
    text: `Accepted at offset ${accepted.offset} (change ${accepted.id}).`,
  }));
}
