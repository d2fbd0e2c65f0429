import * as z from "zod";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;
const MAXIMUM_MILLISECONDS = 86_400_000;

const nameSchema = z.string().regex(
  NAME_PATTERN,
  "a name of letters, digits, '.', '_', ':' and '-'",
);

const millisecondsSchema = z.string()
  .regex(/^\d+(\.\d+)?$/, "a number of milliseconds")
  .transform(Number)
  .refine(
    (value) => value > 0 && value <= MAXIMUM_MILLISECONDS,
    `above 0 and at most ${MAXIMUM_MILLISECONDS} milliseconds`,
  );

const wholeMillisecondsSchema = millisecondsSchema.refine(
  Number.isInteger,
  "whole milliseconds",
);

const targetFields = {
  first_token_milliseconds: wholeMillisecondsSchema,
  between_tokens_milliseconds: millisecondsSchema.optional(),
  whole_answer_milliseconds: wholeMillisecondsSchema.optional(),
};

const removalSchema = z.strictObject({
  remove: z.literal(true, "true, or no such key"),
});

const adapterSchema = z.strictObject({
  model: nameSchema,
  versions: z.string().transform((text) => text.split(/[\s,]+/).filter(Boolean))
    .pipe(
      z.array(nameSchema).min(1, "one version or more, with spaces between"),
    ),
  current: nameSchema,
}).refine((given) => given.versions.includes(given.current), {
  path: ["current"],
  error: "one of versions",
});

/** The schema of the keys in each kind of section. */
export const SECTION_SCHEMAS = {
  class: z.strictObject(targetFields),
  service: z.strictObject(targetFields),
  tenant: z.strictObject({}),
  adapter: adapterSchema,
} as const;

/** The schema of a section that removes the item that it names. */
export const REMOVAL_SCHEMA = removalSchema;

/** The schema of a section's name. */
export const SECTION_NAME_SCHEMA = nameSchema;

/** A kind of section. */
export type SectionKind = keyof typeof SECTION_SCHEMAS;

/** The keys that each kind of section accepts. */
export const SECTION_KEYS: Readonly<Record<SectionKind, readonly string[]>> = {
  class: [...Object.keys(targetFields), "remove"],
  service: [...Object.keys(targetFields), "remove"],
  tenant: ["remove"],
  adapter: ["model", "versions", "current", "remove"],
};
