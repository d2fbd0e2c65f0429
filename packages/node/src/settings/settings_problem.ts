import { closest } from "fastest-levenshtein";
import type { z } from "zod";
import type { RepeatedKey } from "./repeated_keys.ts";

/** A validation error in a settings file. */
export interface SettingsProblem {
  readonly file: string;
  readonly section: string;
  /** Empty if the problem concerns the whole section. */
  readonly key: string;
  readonly seen: string;
  readonly allowed: string;
}

/** The parsed but unvalidated content of a settings file. */
export interface RawSettings {
  readonly file: string;
  readonly values: Readonly<Record<string, unknown>>;
  /** The allowed keys of each known section. */
  readonly sections: SectionKeys;
}

/** The allowed keys, by section. */
export type SectionKeys = ReadonlyMap<string, readonly string[]>;

/**
 * Formats a problem as one line.
 * @param problem The problem.
 * @returns The line.
 */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const { file, section, key, seen, allowed } = problem;
  const place = key === "" ? `[${section}]` : `[${section}] ${key}`;
  return `${file}: ${place}: seen ${seen}, allowed: ${allowed}.`;
}

/**
 * Converts a schema issue to problems that name sections and keys of the file.
 * @param issue The schema issue.
 * @param raw The content of the file.
 * @returns The problems.
 */
export function issueProblems(
  issue: z.core.$ZodIssue,
  raw: RawSettings,
): readonly SettingsProblem[] {
  const [section = "", key = ""] = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((name) =>
      section === ""
        ? unknownSection(name, raw)
        : unknownKey(name, { section, raw })
    );
  }
  const seen = describeValue(valueAt(raw, section, key));
  const allowed = key === ""
    ? `a section with ${listKeys(section, raw).join(", ")}`
    : issue.message;
  return [{ file: raw.file, section, key, seen, allowed }];
}

/**
 * Creates the problem of a repeated key or section.
 * @param repeated The key or section.
 * @param file The file's name.
 * @returns The problem.
 */
export function repeatedKeyProblem(
  repeated: RepeatedKey,
  file: string,
): SettingsProblem {
  return { file, ...repeated, seen: "it twice", allowed: "it once" };
}

function unknownSection(name: string, raw: RawSettings): SettingsProblem {
  const known = [...raw.sections.keys()];
  const isSection = typeof raw.values[name] === "object";
  return {
    file: raw.file,
    section: isSection ? name : "",
    key: isSection ? "" : name,
    seen: isSection
      ? "an unknown section"
      : describeValue(valueAt(raw, "", name)),
    allowed: isSection
      ? `a known section; the nearest is [${closest(name, known)}]`
      : "keys only inside a section",
  };
}

function unknownKey(
  key: string,
  { section, raw }: { readonly section: string; readonly raw: RawSettings },
): SettingsProblem {
  const nearest = closest(key, [...listKeys(section, raw)]);
  return {
    file: raw.file,
    section,
    key,
    seen: `an unknown key with ${describeValue(valueAt(raw, section, key))}`,
    allowed: `a known key; the nearest is ${nearest}`,
  };
}

function listKeys(section: string, raw: RawSettings): readonly string[] {
  return raw.sections.get(section) ?? [];
}

function valueAt(raw: RawSettings, section: string, key: string): unknown {
  if (section === "") return raw.values[key];
  const values = raw.values[section];
  if (key === "" || typeof values !== "object" || values === null) {
    return values;
  }
  return Reflect.get(values, key);
}

function describeValue(value: unknown): string {
  if (value === undefined) return "nothing";
  if (typeof value === "object" && value !== null) return "a section";
  return typeof value === "string" ? `"${value}"` : JSON.stringify(value);
}
