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
  CommandResult,
  CommandWork,
  GlobalOptions,
} from "./commands/command.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";
import { formatOutput } from "./output/command_output.ts";

const HELP_COLUMNS = 80;

/** Where a run of the command line writes, and what it finds around it. */
export interface CommandLineSurroundings {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** The process's own output and environment. */
export const PROCESS_SURROUNDINGS: CommandLineSurroundings = {
  environment: process.env,
  writeOut: (text) => void process.stdout.write(text),
  writeError: (text) => void process.stderr.write(text),
};

const NO_NODE: CommandFailure = {
  code: EXIT_CODE.usage,
  message: "No node is named.",
  remedy: "Give --node ADDRESS, or set FOXTAILWIND_NODE.",
};

/**
 * Runs one command line.
 * @param words What follows the program's name.
 * @param run The commands, and where to write.
 * @returns The exit code.
 */
export async function runCommandLine(
  words: readonly string[],
  run: {
    readonly commands: readonly Command[];
    readonly surroundings?: CommandLineSurroundings;
  },
): Promise<ExitCode> {
  const surroundings = run.surroundings ?? PROCESS_SURROUNDINGS;
  const reported: { code: ExitCode } = { code: EXIT_CODE.ok };
  const fail = (failure: CommandFailure, json: boolean) => {
    reported.code = failure.code;
    const text = json
      ? JSON.stringify({ error: failure })
      : formatCommandFailure(failure);
    surroundings.writeError(`${text}\n`);
  };
  const parser = commandParser(surroundings);
  for (const command of run.commands) {
    command.register(parser, async (options, work) => {
      const address = options.node ??
        surroundings.environment["FOXTAILWIND_NODE"];
      const result = await runWork(work, address);
      result.match(
        (output) => {
          surroundings.writeOut(`${formatOutput(output, options.json)}\n`);
        },
        (failure) => {
          fail(failure, options.json);
        },
      );
    });
  }
  await parser.parseAsync([...words], {}, (problem, _given, output) => {
    if (problem instanceof Error) {
      fail(
        usageFailure(problem.message, {
          word: words[0] ?? "",
          known: run.commands.map((command) => command.word),
        }),
        false,
      );
    } else if (output !== "") {
      surroundings.writeOut(`${output}\n`);
    }
  });
  return reported.code;
}

function runWork(
  work: CommandWork,
  address: string | undefined,
): Promise<CommandResult> {
  if (work.kind === "here") return work.run();
  if (address === undefined) return Promise.resolve(err(NO_NODE));
  return work.run(new NodeClient(address));
}

function usageFailure(
  message: string,
  { word, known }: { readonly word: string; readonly known: string[] },
): CommandFailure {
  return {
    code: EXIT_CODE.usage,
    message,
    remedy: known.includes(word) || word.startsWith("-") || word === ""
      ? "Run it with --help to see what it takes."
      : `The nearest command is "${closest(word, known)}".`,
  };
}

function commandParser(
  surroundings: CommandLineSurroundings,
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
    .wrap(HELP_COLUMNS)
    .version(false)
    .exitProcess(false)
    .epilogue(
      surroundings.environment["FOXTAILWIND_NODE"] === undefined
        ? "Set FOXTAILWIND_NODE to leave out --node."
        : "FOXTAILWIND_NODE names the node.",
    );
}
