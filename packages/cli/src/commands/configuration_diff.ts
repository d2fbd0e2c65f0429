import { err } from "neverthrow";
import { formatDifferences, readDifferences } from "../client/differences.ts";
import { loadConfigurationFile } from "../files/load_configuration_file.ts";
import { type Command, defineCommand } from "./command.ts";

/** Compares a file with the configuration in force. */
export const CONFIGURATION_DIFF_COMMAND: Command = defineCommand({
  command: "diff <file>",
  describe: "Compare an INI file with what is in force",
  options: (parser) =>
    parser.positional("file", { type: "string", demandOption: true }),
  async run(options, client) {
    const changes = loadConfigurationFile(options.file);
    if (changes.isErr()) return err(changes.error);
    const response = await readDifferences(client, changes.value);
    return response.map((differences) => ({
      json: differences,
      text: formatDifferences(differences),
    }));
  },
});
