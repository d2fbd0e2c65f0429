import type { Result } from "neverthrow";
import type { NodeClient } from "../client/node_client.ts";
import type { CommandFailure } from "../command_failure.ts";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand, defineGroup } from "./command.ts";
import {
  TARGET_COLUMNS,
  type TargetAnswer,
  targetCells,
  targetOf,
  targetOptions,
} from "./target_options.ts";
import { publishChanges, writeOptions } from "./write_options.ts";

/** Something that has a target, as a node lists it. */
export interface TargetedRow {
  readonly name: string;
  readonly target: TargetAnswer;
  /** The offset of its last change. */
  readonly version: number;
  readonly author: string;
}

/** The words of things that have targets, and how they are listed. */
export interface TargetedGroup<Listed extends object> {
  readonly one: "class" | "service";
  readonly many: "classes" | "services";
  readonly describe: string;
  readonly describeRemove: string;
  /** Asks a node for all of them. */
  readonly list: (
    client: NodeClient,
  ) => Promise<Result<Listed, CommandFailure>>;
  readonly rows: (listed: Listed) => readonly TargetedRow[];
}

/**
 * Defines the command that lists, sets and removes things that have targets.
 * @param group Their words, and how they are listed.
 * @returns The command.
 */
export function defineTargetedGroup<Listed extends object>(
  group: TargetedGroup<Listed>,
): Command {
  return defineGroup({
    command: group.many,
    describe: group.describe,
    commands: [listCommand(group), setCommand(group), removeCommand(group)],
  });
}

function listCommand<Listed extends object>(
  { one, many, list, rows }: TargetedGroup<Listed>,
): Command {
  return defineCommand({
    command: "list",
    describe: `List the ${many} and their targets`,
    options: (parser) => parser,
    async run(_options, client) {
      const answer = await list(client);
      return answer.map((found) => ({
        json: found,
        text: formatTable(
          [one, ...TARGET_COLUMNS, "changed at", "by"],
          rows(found).map((row) => [
            row.name,
            ...targetCells(row.target),
            row.version,
            row.author,
          ]),
        ),
      }));
    },
  });
}

function setCommand<Listed extends object>(
  { one }: TargetedGroup<Listed>,
): Command {
  return defineCommand({
    command: `set <${one}>`,
    describe: `Make a ${one}, or change its target`,
    options: (parser) =>
      targetOptions(parser).positional(one, {
        type: "string",
        demandOption: true,
      }),
    run: (options, client) =>
      publishChanges(client, options, {
        changes: [{
          kind: `set_${one}`,
          [one]: options[one],
          target: targetOf(options),
        }],
      }),
  });
}

function removeCommand<Listed extends object>(
  { one, describeRemove }: TargetedGroup<Listed>,
): Command {
  return defineCommand({
    command: `remove <${one}>`,
    describe: describeRemove,
    options: (parser) =>
      writeOptions(parser).positional(one, {
        type: "string",
        demandOption: true,
      }),
    run: (options, client) =>
      publishChanges(client, options, {
        changes: [{ kind: `remove_${one}`, [one]: options[one] }],
      }),
  });
}
