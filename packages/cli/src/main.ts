#!/usr/bin/env node
import process from "node:process";
import { runCommandLine } from "./command_line.ts";
import { COMMANDS } from "./commands/mod.ts";

process.exitCode = await runCommandLine(process.argv.slice(2), {
  commands: COMMANDS,
});
