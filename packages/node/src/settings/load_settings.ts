import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { findRepeatedKeys } from "./repeated_keys.ts";
import { type Settings, settingsSchema } from "./settings.ts";
import {
  problemOfRepeated,
  problemsOfIssue,
  type SettingsProblem,
} from "./settings_problem.ts";

export {
  formatSettingsProblem,
  type SettingsProblem,
} from "./settings_problem.ts";

/**
 * Reads and checks a settings file.
 * @param file The INI file's path.
 * @returns The settings, or every problem at once.
 */
export function loadSettings(
  file: string,
): Result<Settings, readonly SettingsProblem[]> {
  return readText(file).andThen((text) => parseSettings(text, file));
}

/**
 * Checks the text of a settings file.
 * @param text INI.
 * @param file The file's name, for problems.
 * @returns The settings, or every problem at once.
 */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, readonly SettingsProblem[]> {
  const values = parse(text);
  const parsed = settingsSchema.safeParse(values);
  const problems = findRepeatedKeys(text).map((repeated) =>
    problemOfRepeated(repeated, file)
  );
  for (const issue of parsed.error?.issues ?? []) {
    problems.push(...problemsOfIssue(issue, { file, values }));
  }
  return parsed.success && problems.length === 0
    ? ok(parsed.data)
    : err(problems);
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
