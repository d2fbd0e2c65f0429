import { closest } from "fastest-levenshtein";
import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { z } from "zod";
import type { CommandFailure } from "../command_failure.ts";
import { EXIT_CODE } from "../exit_code.ts";
import {
  REMOVAL_SCHEMA,
  SECTION_KEYS,
  SECTION_NAME_SCHEMA,
  SECTION_SCHEMAS,
  type SectionKind,
} from "./configuration_file_schema.ts";

const SECTION_KINDS = Object.keys(SECTION_SCHEMAS) as readonly SectionKind[];

/** One error in a configuration file. */
export interface FileProblem {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly seen: string;
  readonly allowed: string;
}

interface Section {
  readonly title: string;
  readonly kind: SectionKind;
  readonly name: string;
  readonly values: Readonly<Record<string, unknown>>;
}

/**
 * Reads a configuration file with sections such as `[class drafting]`.
 * @param file The file's path.
 * @returns The changes that it describes, or all problems in one failure.
 */
export function loadConfigurationFile(
  file: string,
): Result<readonly object[], CommandFailure> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    return err({
      code: EXIT_CODE.usage,
      message: `Cannot read ${file}: ${cause}.`,
      remedy: "Name a readable INI file.",
    });
  }
  return parseConfigurationFile(text, file).mapErr((problems) => ({
    code: EXIT_CODE.usage,
    message: `${file} has ${problems.length} problems; nothing is published.`,
    remedy: problems.map(formatFileProblem).join("\n"),
  }));
}

/**
 * Parses and validates a configuration file's text.
 * @param text The text, in INI format.
 * @param file The file's name in problems.
 * @returns The changes, or all problems.
 */
export function parseConfigurationFile(
  text: string,
  file: string,
): Result<readonly object[], readonly FileProblem[]> {
  const problems: FileProblem[] = [];
  const changes: object[] = [];
  for (const [title, values] of flattenSections(parse(text))) {
    const section = readSection(title, values);
    const change = section.andThen(toChange);
    if (change.isOk()) changes.push(change.value);
    else {problems.push(
        ...change.error.map((problem) => ({ file, ...problem })),
      );}
  }
  return problems.length === 0 ? ok(changes) : err(problems);
}

/**
 * Formats a problem as one line.
 * @param problem The problem.
 * @returns The line.
 */
export function formatFileProblem(problem: FileProblem): string {
  const { file, section, key, seen, allowed } = problem;
  return `${file}: [${section}] ${key}: seen "${seen}", allowed: ${allowed}.`;
}

/**
 * Restores the section titles: the ini library nests sections at dots, but
 * names in this file may contain dots.
 */
function flattenSections(
  raw: object,
  prefix = "",
): readonly [string, unknown][] {
  return Object.entries(raw).flatMap(([key, value]): [string, unknown][] => {
    const title = `${prefix}${key}`;
    if (!isSection(value)) return prefix === "" ? [[title, value]] : [];
    const nested = Object.values(value).filter(isSection);
    const own = Object.entries(value).filter(([, inner]) => !isSection(inner));
    const sections = flattenSections(value, `${title}.`);
    if (own.length === 0 && nested.length > 0) return [...sections];
    return [[title, Object.fromEntries(own)], ...sections];
  });
}

function isSection(value: unknown): value is object {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

type SectionProblem = Omit<FileProblem, "file">;

function readSection(
  title: string,
  values: unknown,
): Result<Section, readonly SectionProblem[]> {
  if (typeof values !== "object" || values === null) {
    return err([{
      section: "",
      key: title,
      seen: formatValue(values),
      allowed: `keys inside a section: ${SECTION_KINDS.join(", ")}`,
    }]);
  }
  const [kindName = "", name = ""] = title.split(/\s+(.*)/);
  const kind = SECTION_KINDS.find((known) => known === kindName);
  if (kind === undefined) {
    return err([{
      section: title,
      key: "",
      seen: kindName,
      allowed: `[${
        closest(kindName, [...SECTION_KINDS])
      } NAME] is the nearest of ${SECTION_KINDS.join(", ")}`,
    }]);
  }
  if (!SECTION_NAME_SCHEMA.safeParse(name).success) {
    return err([{
      section: title,
      key: "",
      seen: name,
      allowed: `[${kind} NAME], with letters, digits, '.', '_', ':' and '-'`,
    }]);
  }
  return ok({ title, kind, name, values: { ...values } });
}

function toChange(section: Section): Result<object, readonly SectionProblem[]> {
  const { kind, name, values } = section;
  if ("remove" in values) {
    const removal = REMOVAL_SCHEMA.safeParse(values);
    if (!removal.success) return err(toProblems(section, removal.error));
    return ok({ kind: `remove_${kind}`, [kind]: name });
  }
  switch (kind) {
    case "class":
    case "service": {
      const target = SECTION_SCHEMAS[kind].safeParse(values);
      if (!target.success) return err(toProblems(section, target.error));
      return ok({
        kind: `set_${kind}`,
        [kind]: name,
        target: toTarget(target.data),
      });
    }
    case "tenant": {
      const tenant = SECTION_SCHEMAS.tenant.safeParse(values);
      if (!tenant.success) return err(toProblems(section, tenant.error));
      return ok({ kind: "set_tenant", tenant: name });
    }
    case "adapter": {
      const adapter = SECTION_SCHEMAS.adapter.safeParse(values);
      if (!adapter.success) return err(toProblems(section, adapter.error));
      return ok({ kind: "set_adapter", adapter: name, ...adapter.data });
    }
  }
}

function toTarget(
  values: z.output<typeof SECTION_SCHEMAS.class>,
): object {
  return {
    firstTokenMilliseconds: values.first_token_milliseconds,
    betweenTokensMilliseconds: values.between_tokens_milliseconds,
    wholeAnswerMilliseconds: values.whole_answer_milliseconds,
  };
}

function toProblems(
  section: Section,
  error: z.ZodError,
): readonly SectionProblem[] {
  return error.issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) => unknownKeyProblem(section, key));
    }
    const key = String(issue.path[0] ?? "");
    const value = section.values[key];
    return [{
      section: section.title,
      key,
      seen: formatValue(value),
      allowed: value === undefined
        ? "a value; the key must be set"
        : issue.message,
    }];
  });
}

function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  return typeof value === "string" ? value : JSON.stringify(value);
}

function unknownKeyProblem(section: Section, key: string): SectionProblem {
  const known = SECTION_KEYS[section.kind];
  return {
    section: section.title,
    key,
    seen: formatValue(section.values[key]),
    allowed: `no such key; the nearest is "${closest(key, [...known])}"`,
  };
}
