import type { Result } from "neverthrow";
import type { NodeClient } from "../client/node_client.ts";
import type { CommandFailure } from "../command_failure.ts";
import { formatTable } from "../output/table.ts";
import { type Command, defineCommand, defineGroup } from "./command.ts";
import {
  addTargetOptions,
  type LatencyTarget,
  TARGET_COLUMN_NAMES,
  toLatencyTarget,
  toTargetCells,
} from "./target_options.ts";
import { addWriteOptions, publishChanges } from "./write_options.ts";

/** An item with a latency target, as listed by a node. */
export interface TargetedRow {
  readonly name: string;
  readonly target: LatencyTarget;
  /** The configuration offset of the item's last change. */
  readonly version: number;
  readonly author: string;
}

/** A kind of item with latency targets: its names and how to list it. */
export interface TargetedGroup<ListResponse extends object> {
  readonly singular: "class" | "service";
  readonly plural: "classes" | "services";
  readonly describe: string;
  readonly removeDescription: string;
  /** Reads all items from a node. */
  readonly list: (
    client: NodeClient,
  ) => Promise<Result<ListResponse, CommandFailure>>;
  readonly toRows: (listed: ListResponse) => readonly TargetedRow[];
}

/**
 * Defines the command that lists, sets and removes items with latency targets.
 * @param group The kind of item.
 * @returns The command.
 */
export function defineTargetedGroup<Listed extends object>(
  group: TargetedGroup<Listed>,
): Command {
  return defineGroup({
    command: group.plural,
    describe: group.describe,
    commands: [
      defineListCommand(group),
      defineSetCommand(group),
      defineRemoveCommand(group),
    ],
  });
}

function defineListCommand<Listed extends object>(
  { singular, plural, list, toRows }: TargetedGroup<Listed>,
): Command {
  return defineCommand({
    command: "list",
    describe: `List the ${plural} and their targets`,
    options: (parser) => parser,
    async run(_options, client) {
      const response = await list(client);
      return response.map((body) => ({
        json: body,
        text: formatTable(
          [singular, ...TARGET_COLUMN_NAMES, "changed at", "by"],
          toRows(body).map((row) => [
            row.name,
            ...toTargetCells(row.target),
            row.version,
            row.author,
          ]),
        ),
      }));
    },
  });
}

function defineSetCommand<Listed extends object>(
  { singular }: TargetedGroup<Listed>,
): Command {
  return defineCommand({
    command: `set <${singular}>`,
    describe: `Make a ${singular}, or change its target`,
    options: (parser) =>
      addTargetOptions(parser).positional(singular, {
        type: "string",
        demandOption: true,
      }),
    run: (options, client) =>
      publishChanges(client, options, {
        changes: [{
          kind: `set_${singular}`,
          [singular]: options[singular],
          target: toLatencyTarget(options),
        }],
      }),
  });
}

function defineRemoveCommand<Listed extends object>(
  { singular, removeDescription }: TargetedGroup<Listed>,
): Command {
  return defineCommand({
    command: `remove <${singular}>`,
    describe: removeDescription,
    options: (parser) =>
      addWriteOptions(parser).positional(singular, {
        type: "string",
        demandOption: true,
      }),
    run: (options, client) =>
      publishChanges(client, options, {
        changes: [{
          kind: `remove_${singular}`,
          [singular]: options[singular],
        }],
      }),
  });
}
