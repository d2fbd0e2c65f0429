import { type Command, defineGroup } from "./command.ts";
import { CONFIGURATION_DIFF_COMMAND } from "./configuration_diff.ts";
import { CONFIGURATION_HISTORY_COMMAND } from "./configuration_history.ts";
import { CONFIGURATION_PUBLISH_COMMAND } from "./configuration_publish.ts";
import { CONFIGURATION_STATUS_COMMAND } from "./configuration_status.ts";

/** Publishes the configuration; shows its status, history and differences. */
export const CONFIGURATION_COMMAND: Command = defineGroup({
  command: "config",
  describe: "The configuration as a whole",
  commands: [
    CONFIGURATION_PUBLISH_COMMAND,
    CONFIGURATION_DIFF_COMMAND,
    CONFIGURATION_HISTORY_COMMAND,
    CONFIGURATION_STATUS_COMMAND,
  ],
});
