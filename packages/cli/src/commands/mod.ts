import { ADAPTERS_COMMAND } from "./adapters.ts";
import { CLASSES_COMMAND } from "./classes.ts";
import type { Command } from "./command.ts";
import { CONFIGURATION_COMMAND } from "./configuration.ts";
import { DRAIN_COMMAND } from "./drain.ts";
import { ENGINES_COMMAND } from "./engines.ts";
import { EXPLAIN_COMMAND } from "./explain.ts";
import { HISTOGRAMS_COMMAND } from "./histograms.ts";
import { NODES_COMMAND } from "./nodes.ts";
import { QUARANTINES_COMMAND } from "./quarantines.ts";
import { SERVICES_COMMAND } from "./services.ts";
import { TENANTS_COMMAND } from "./tenants.ts";

/** The commands of `foxtailwind`, in the order in which help lists them. */
export const COMMANDS: readonly Command[] = [
  CLASSES_COMMAND,
  TENANTS_COMMAND,
  ADAPTERS_COMMAND,
  SERVICES_COMMAND,
  CONFIGURATION_COMMAND,
  NODES_COMMAND,
  ENGINES_COMMAND,
  HISTOGRAMS_COMMAND,
  EXPLAIN_COMMAND,
  QUARANTINES_COMMAND,
  DRAIN_COMMAND,
];
