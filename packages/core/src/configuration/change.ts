import * as z from "zod";
import type {
  AdapterId,
  AdapterVersion,
  ChangeId,
  ClassId,
  LogOffset,
  ModelId,
  ServiceId,
  TenantId,
} from "../shared/mod.ts";
import { type ItemKey, itemKeyOf } from "./item_key.ts";

const MAXIMUM_TEXT = 128;

function branded<Id extends string>() {
  return z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/)
    .transform((value) => value as Id);
}

const MAXIMUM_TARGET_MILLISECONDS = 86_400_000;

const targetSchema = z.strictObject({
  firstTokenMilliseconds: z.number().int().positive()
    .max(MAXIMUM_TARGET_MILLISECONDS),
  betweenTokensMilliseconds: z.number().positive()
    .max(MAXIMUM_TARGET_MILLISECONDS).optional(),
  wholeAnswerMilliseconds: z.number().int().positive()
    .max(MAXIMUM_TARGET_MILLISECONDS).optional(),
});

const changeSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("set_class"),
    class: branded<ClassId>(),
    target: targetSchema,
  }),
  z.strictObject({
    kind: z.literal("remove_class"),
    class: branded<ClassId>(),
  }),
  z.strictObject({
    kind: z.literal("set_tenant"),
    tenant: branded<TenantId>(),
  }),
  z.strictObject({
    kind: z.literal("remove_tenant"),
    tenant: branded<TenantId>(),
  }),
  z.strictObject({
    kind: z.literal("set_adapter"),
    adapter: branded<AdapterId>(),
    model: branded<ModelId>(),
    versions: z.array(branded<AdapterVersion>()).min(1).readonly(),
    current: branded<AdapterVersion>(),
  }),
  z.strictObject({
    kind: z.literal("remove_adapter"),
    adapter: branded<AdapterId>(),
  }),
  z.strictObject({
    kind: z.literal("set_service"),
    service: branded<ServiceId>(),
    target: targetSchema,
  }),
  z.strictObject({
    kind: z.literal("remove_service"),
    service: branded<ServiceId>(),
  }),
]);

/** How many changes one record carries at most. */
export const MAXIMUM_RECORD_CHANGES = 500;

/**
 * The newest form of records that this program reads. A record's meaning is
 * fixed by its format: a change of {@link configurationRecordSchema} needs a
 * new number, else two releases would decide differently about one record.
 */
export const RECORD_FORMAT = 1;

const changesSchema = z.array(changeSchema).min(1).max(MAXIMUM_RECORD_CHANGES)
  .superRefine((changes, context) => {
    const seen = new Set<ItemKey>();
    for (const [index, change] of changes.entries()) {
      const item = itemKeyOf(change);
      if (seen.has(item)) {
        context.addIssue({
          code: "custom",
          path: [index],
          message: `changes ${item} a second time; name each item once`,
        });
      }
      seen.add(item);
      if (namesUnknownCurrent(change)) {
        context.addIssue({
          code: "custom",
          path: [index, "current"],
          message: `of ${item} is not one of its versions; name one of them`,
        });
      }
    }
  });

function namesUnknownCurrent(change: z.output<typeof changeSchema>): boolean {
  return change.kind === "set_adapter" &&
    !change.versions.includes(change.current);
}

/** The form of a configuration record in the log. */
export const configurationRecordSchema = z.object({
  id: z.string().min(1).max(MAXIMUM_TEXT).transform((value) =>
    value as ChangeId
  ),
  author: z.string().max(MAXIMUM_TEXT),
  /** The offset of the configuration that the author changes; -1 for none. */
  base: z.number().int().min(-1).transform((value) => value as LogOffset),
  changes: changesSchema,
});

/** How quickly the requests of a class must be answered. */
export type Target = z.output<typeof targetSchema>;

/** One change of one item of the configuration. */
export type ConfigurationChange = z.output<typeof changeSchema>;

/** A record of changes that are accepted or refused together. */
export type ConfigurationRecord = z.output<typeof configurationRecordSchema>;
