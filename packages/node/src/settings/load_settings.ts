import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { type Settings, settingsSchema } from "./settings.ts";
import { parseIni } from "./parse_ini.ts";
import type { SettingsProblem } from "./settings_problem.ts";

export {
  formatSettingsProblem,
  type SettingsProblem,
} from "./settings_problem.ts";

/**
 * Reads and validates a settings file.
 * @param file The INI file's path.
 * @returns The settings, or all problems found.
 */
export function loadSettings(
  file: string,
): Result<Settings, readonly SettingsProblem[]> {
  return readText(file).andThen((text) => parseSettings(text, file));
}

/**
 * Parses and validates the content of a settings file.
 * @param text The content, in INI format.
 * @param file The file's name, for problems.
 * @returns The settings, or all problems found.
 */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, readonly SettingsProblem[]> {
  return parseIni(text, file, settingsSchema);
}

function readText(file: string): Result<string, readonly SettingsProblem[]> {
  try {
    return ok(readFileSync(file, "utf8"));
  } catch (error) {
    const seen = error instanceof Error ? error.message : String(error);
    return err([{
      file,
      section: "",
      key: "",
      seen,
      allowed: "a readable file",
    }]);
  }
}
