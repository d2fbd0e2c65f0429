import * as z from "zod";

const NAME = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;
const MAXIMUM_MILLISECONDS = 86_400_000;

const name = z.string().regex(
  NAME,
  "a name of letters, digits, '.', '_', ':' and '-'",
);

const milliseconds = z.string()
  .regex(/^\d+(\.\d+)?$/, "a number of milliseconds")
  .transform(Number)
  .refine(
    (value) => value > 0 && value <= MAXIMUM_MILLISECONDS,
    `above 0 and at most ${MAXIMUM_MILLISECONDS} milliseconds`,
  );

const wholeMilliseconds = milliseconds.refine(
  Number.isInteger,
  "whole milliseconds",
);

const target = {
  first_token_milliseconds: wholeMilliseconds,
  between_tokens_milliseconds: milliseconds.optional(),
  whole_answer_milliseconds: wholeMilliseconds.optional(),
};

const removal = z.strictObject({
  remove: z.literal(true, "true, or no such key"),
});

const adapter = z.strictObject({
  model: name,
  versions: z.string().transform((text) => text.split(/[\s,]+/).filter(Boolean))
    .pipe(z.array(name).min(1, "one version or more, with spaces between")),
  current: name,
}).refine((given) => given.versions.includes(given.current), {
  path: ["current"],
  error: "one of versions",
});

/** The kinds of section, and the form of the keys in each. */
export const SECTION_SCHEMAS = {
  class: z.strictObject(target),
  service: z.strictObject(target),
  tenant: z.strictObject({}),
  adapter,
} as const;

/** The form of a section that removes what it names. */
export const REMOVAL_SCHEMA = removal;

/** The form of a section's name. */
export const SECTION_NAME_SCHEMA = name;

/** A kind of section. */
export type SectionKind = keyof typeof SECTION_SCHEMAS;

/** The keys that each kind of section may have. */
export const SECTION_KEYS: Readonly<Record<SectionKind, readonly string[]>> = {
  class: [...Object.keys(target), "remove"],
  service: [...Object.keys(target), "remove"],
  tenant: ["remove"],
  adapter: ["model", "versions", "current", "remove"],
};
