import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { type Settings, settingsSchema } from "./settings.ts";

/** One thing that is wrong with the settings. */
export interface SettingsProblem {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly seen: string;
  readonly allowed: string;
}

/**
 * Reads and checks a settings file.
 * @param file The INI file's path.
 * @returns The settings, or every problem at once.
 */
export function loadSettings(
  file: string,
): Result<Settings, readonly SettingsProblem[]> {
  try {
    return parseSettings(readFileSync(file, "utf8"), file);
  } catch (error) {
    return err([{
      file,
      section: "",
      key: "",
      seen: error instanceof Error ? error.message : String(error),
      allowed: "a readable file",
    }]);
  }
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
  const raw = parse(text);
  const parsed = settingsSchema.safeParse(raw);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.map((issue) => {
    const [section = "", key = ""] = issue.path.map(String);
    const seen = valueAt(raw, section, key);
    return { file, section, key, seen, allowed: issue.message };
  }));
}

function valueAt(raw: object, section: string, key: string): string {
  const values: unknown = Reflect.get(raw, section);
  if (typeof values !== "object" || values === null) return "nothing";
  const value: unknown = Reflect.get(values, key);
  return typeof value === "string" ? value : "nothing";
}

/**
 * Says what is wrong in one line.
 * @param problem The problem.
 * @returns The line.
 */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const { file, section, key, seen, allowed } = problem;
  return `${file}: [${section}] ${key}: seen "${seen}", allowed: ${allowed}.`;
}
