import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { findRepeatedKeys } from "./repeated_keys.ts";
import {
  problemOfRepeated,
  problemsOfIssue,
  type SettingsProblem,
} from "./settings_problem.ts";

/** A schema of sections, each with its keys. */
export type SectionsShape = Readonly<Record<string, z.ZodType>>;

/**
 * Checks the text of an INI file by a schema.
 * @param text INI.
 * @param file The file's name, for problems.
 * @param schema What the file has to hold.
 * @returns The values, or every problem at once.
 */
export function parseIni<Shape extends SectionsShape>(
  text: string,
  file: string,
  schema: z.ZodObject<Shape>,
): Result<z.infer<z.ZodObject<Shape>>, readonly SettingsProblem[]> {
  const values = parse(text);
  const sections = new Map(
    Object.entries(schema.shape).map(([name, section]) => [
      name,
      keysOf(section),
    ]),
  );
  const parsed = schema.safeParse(values);
  const problems = findRepeatedKeys(text).map((repeated) =>
    problemOfRepeated(repeated, file)
  );
  for (const issue of parsed.error?.issues ?? []) {
    problems.push(...problemsOfIssue(issue, { file, values, sections }));
  }
  return parsed.success && problems.length === 0
    ? ok(parsed.data)
    : err(problems);
}

/** The keys of a section, also of one that may be left out. */
function keysOf(section: z.ZodType): readonly string[] {
  if ("shape" in section) return Object.keys(section.shape as object);
  const { def } = section as {
    readonly def?: { readonly innerType?: unknown };
  };
  return def?.innerType === undefined ? [] : keysOf(def.innerType as z.ZodType);
}
