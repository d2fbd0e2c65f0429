import type { Result } from "neverthrow";
import type { ArgumentsCamelCase, Argv } from "yargs";
import type { NodeClient } from "../client/node_client.ts";
import type { CommandFailure } from "../command_failure.ts";
import type { CommandOutput } from "../output/command_output.ts";

/** The options that every command takes. */
export interface GlobalOptions {
  readonly node: string | undefined;
  readonly json: boolean;
}

/** The output of a command, or why it failed. */
export type CommandResult = Result<CommandOutput, CommandFailure>;

/** The action of a command, bound to its options. */
export type CommandAction =
  | {
    readonly kind: "at_node";
    readonly run: (client: NodeClient) => Promise<CommandResult>;
  }
  /** Runs without calling a node. */
  | { readonly kind: "here"; readonly run: () => Promise<CommandResult> };

/** Runs the action of a command and prints its result. */
export type ExecuteAction = (
  options: GlobalOptions,
  work: CommandAction,
) => Promise<void>;

/** A command that can be added to the parser. */
export interface Command {
  /** The argument that selects the command. */
  readonly name: string;
  readonly register: (
    parser: Argv<GlobalOptions>,
    execute: ExecuteAction,
  ) => Argv<GlobalOptions>;
}

/** The definition of a command: its arguments, options and action. */
export interface CommandDefinition<Options> {
  /** The command in the syntax of yargs, such as `set <class>`. */
  readonly command: string;
  readonly describe: string;
  readonly options: (parser: Argv<GlobalOptions>) => Argv<Options>;
  readonly run: (
    options: ArgumentsCamelCase<Options>,
    client: NodeClient,
  ) => Promise<CommandResult>;
  /** Returns the result if these options need no node, else `undefined`. */
  readonly runWithoutNode?: (
    options: ArgumentsCamelCase<Options>,
  ) => Promise<CommandResult> | undefined;
}

/**
 * Defines a command.
 * @param definition The command's arguments, options and action.
 * @returns The command.
 */
export function defineCommand<Options extends GlobalOptions>(
  definition: CommandDefinition<Options>,
): Command {
  const { command, describe, options, run, runWithoutNode } = definition;
  return {
    name: command.split(" ")[0] ?? command,
    register: (parser, execute) =>
      parser.command(
        command,
        describe,
        (inner) => options(inner),
        (parsedOptions) => {
          const local = runWithoutNode?.(parsedOptions);
          return execute(
            parsedOptions,
            local === undefined
              ? { kind: "at_node", run: (client) => run(parsedOptions, client) }
              : { kind: "here", run: () => local },
          );
        },
      ),
  };
}

/**
 * Defines a command that only groups subcommands, such as `classes`.
 * @param group The group's name, description and subcommands.
 * @returns The command.
 */
export function defineGroup(group: {
  readonly command: string;
  readonly describe: string;
  readonly commands: readonly Command[];
}): Command {
  return {
    name: group.command,
    register: (parser, execute) =>
      parser.command(group.command, group.describe, (inner) => {
        for (const command of group.commands) command.register(inner, execute);
        return inner.demandCommand(
          1,
          1,
          `Name what to do with ${group.command}; --help lists it.`,
        );
      }),
  };
}
