import { closest } from "fastest-levenshtein";
import { err } from "neverthrow";
import process from "node:process";
import yargs, { type Argv } from "yargs";
import { NodeClient } from "./client/node_client.ts";
import {
  type CommandFailure,
  formatCommandFailure,
} from "./command_failure.ts";
import type {
  Command,
  CommandAction,
  CommandResult,
  GlobalOptions,
} from "./commands/command.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";
import { formatOutput } from "./output/command_output.ts";

const HELP_WIDTH_COLUMNS = 80;

/** The environment variables and output streams of a run. */
export interface CommandLineContext {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** The environment variables and output streams of the process. */
export const PROCESS_CONTEXT: CommandLineContext = {
  environment: process.env,
  writeOut: (text) => void process.stdout.write(text),
  writeError: (text) => void process.stderr.write(text),
};

const MISSING_NODE: CommandFailure = {
  code: EXIT_CODE.usage,
  message: "No node is named.",
  remedy: "Give --node ADDRESS, or set FOXTAILWIND_NODE.",
};

/**
 * Runs one command line.
 * @param commandArguments The arguments after the program's name.
 * @param options The commands, and the context if it is not the process.
 * @returns The exit code.
 */
export async function runCommandLine(
  commandArguments: readonly string[],
  options: {
    readonly commands: readonly Command[];
    readonly context?: CommandLineContext;
  },
): Promise<ExitCode> {
  const context = options.context ?? PROCESS_CONTEXT;
  const exitStatus: { code: ExitCode } = { code: EXIT_CODE.ok };
  const reportFailure = (failure: CommandFailure, json: boolean) => {
    exitStatus.code = failure.code;
    const text = json
      ? JSON.stringify({ error: failure })
      : formatCommandFailure(failure);
    context.writeError(`${text}\n`);
  };
  const parser = createParser(context);
  for (const command of options.commands) {
    command.register(parser, async (parsedOptions, action) => {
      const address = parsedOptions.node ??
        context.environment["FOXTAILWIND_NODE"];
      const result = await runAction(action, address);
      result.match(
        (output) => {
          context.writeOut(`${formatOutput(output, parsedOptions.json)}\n`);
        },
        (failure) => {
          reportFailure(failure, parsedOptions.json);
        },
      );
    });
  }
  await parser.parseAsync(
    [...commandArguments],
    {},
    (error, _argv, output) => {
      if (error instanceof Error) {
        reportFailure(
          usageFailure(error.message, {
            name: commandArguments[0] ?? "",
            known: options.commands.map((command) => command.name),
          }),
          false,
        );
      } else if (output !== "") {
        context.writeOut(`${output}\n`);
      }
    },
  );
  return exitStatus.code;
}

function runAction(
  action: CommandAction,
  address: string | undefined,
): Promise<CommandResult> {
  if (action.kind === "here") return action.run();
  if (address === undefined) return Promise.resolve(err(MISSING_NODE));
  return action.run(new NodeClient(address));
}

function usageFailure(
  message: string,
  { name, known }: { readonly name: string; readonly known: string[] },
): CommandFailure {
  return {
    code: EXIT_CODE.usage,
    message,
    remedy: known.includes(name) || name.startsWith("-") || name === ""
      ? "Run it with --help to see what it takes."
      : `The nearest command is "${closest(name, known)}".`,
  };
}

function createParser(
  context: CommandLineContext,
): Argv<GlobalOptions> {
  return yargs()
    .scriptName("foxtailwind")
    .usage("$0 <command>: operates a foxtailwind deployment.")
    .option("node", {
      type: "string",
      describe: "A node's address, IP literal and port (or FOXTAILWIND_NODE)",
    })
    .option("json", {
      type: "boolean",
      default: false,
      describe: "Print JSON",
    })
    .completion("completion", "Print a shell's completion script")
    .demandCommand(1, "Name a command; --help lists them.")
    .strict()
    .wrap(HELP_WIDTH_COLUMNS)
    .version(false)
    .exitProcess(false)
    .epilogue(
      context.environment["FOXTAILWIND_NODE"] === undefined
        ? "Set FOXTAILWIND_NODE to leave out --node."
        : "FOXTAILWIND_NODE names the node.",
    );
}
