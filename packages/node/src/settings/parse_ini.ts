import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { findRepeatedKeys } from "./repeated_keys.ts";
import {
  issueProblems,
  repeatedKeyProblem,
  type SettingsProblem,
} from "./settings_problem.ts";

/** The schemas of a file's sections, by section name. */
export type SectionsShape = Readonly<Record<string, z.ZodType>>;

/**
 * Parses an INI file and validates it against a schema.
 * @param text The file's content.
 * @param file The file's name, for problems.
 * @param schema The schema of the file.
 * @returns The values, or all problems found.
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
      sectionKeys(section),
    ]),
  );
  const parsed = schema.safeParse(values);
  const problems = findRepeatedKeys(text).map((repeated) =>
    repeatedKeyProblem(repeated, file)
  );
  for (const issue of parsed.error?.issues ?? []) {
    problems.push(...issueProblems(issue, { file, values, sections }));
  }
  return parsed.success && problems.length === 0
    ? ok(parsed.data)
    : err(problems);
}

/** Returns the keys of a section, unwrapping optional sections. */
function sectionKeys(section: z.ZodType): readonly string[] {
  if ("shape" in section) return Object.keys(section.shape as object);
  const { def } = section as {
    readonly def?: { readonly innerType?: unknown };
  };
  return def?.innerType === undefined
    ? []
    : sectionKeys(def.innerType as z.ZodType);
}
