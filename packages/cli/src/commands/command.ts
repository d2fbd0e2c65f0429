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

/** What a command's work comes to. */
export type CommandResult = Result<CommandOutput, CommandFailure>;

/** The work of a command. */
export type CommandAction =
  | {
    readonly kind: "at_node";
    readonly run: (client: NodeClient) => Promise<CommandResult>;
  }
  /** Needs no node. */
  | { readonly kind: "here"; readonly run: () => Promise<CommandResult> };

/** Runs the work of a command and reports what it came to. */
export type ExecuteAction = (
  options: GlobalOptions,
  work: CommandAction,
) => Promise<void>;

/** A command, ready to be added to the parser. */
export interface Command {
  /** The word that calls it. */
  readonly name: string;
  readonly register: (
    parser: Argv<GlobalOptions>,
    execute: ExecuteAction,
  ) => Argv<GlobalOptions>;
}

/** A command's words, its options and its work. */
export interface CommandDefinition<Options> {
  /** As yargs writes it, such as `set <class>`. */
  readonly command: string;
  readonly describe: string;
  readonly options: (parser: Argv<GlobalOptions>) => Argv<Options>;
  readonly run: (
    options: ArgumentsCamelCase<Options>,
    client: NodeClient,
  ) => Promise<CommandResult>;
  /** The work, where these options ask for some that needs no node. */
  readonly runWithoutNode?: (
    options: ArgumentsCamelCase<Options>,
  ) => Promise<CommandResult> | undefined;
}

/**
 * Defines a command.
 * @param definition Its words, options and work.
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
 * Defines a command that only holds others, such as `classes`.
 * @param group Its word, what it is about, and the commands in it.
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
