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

const MAXIMUM_TEXT_CHARACTERS = 128;

function idSchema<Id extends string>() {
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
    class: idSchema<ClassId>(),
    target: targetSchema,
  }),
  z.strictObject({
    kind: z.literal("remove_class"),
    class: idSchema<ClassId>(),
  }),
  z.strictObject({
    kind: z.literal("set_tenant"),
    tenant: idSchema<TenantId>(),
  }),
  z.strictObject({
    kind: z.literal("remove_tenant"),
    tenant: idSchema<TenantId>(),
  }),
  z.strictObject({
    kind: z.literal("set_adapter"),
    adapter: idSchema<AdapterId>(),
    model: idSchema<ModelId>(),
    versions: z.array(idSchema<AdapterVersion>()).min(1).readonly(),
    current: idSchema<AdapterVersion>(),
  }),
  z.strictObject({
    kind: z.literal("remove_adapter"),
    adapter: idSchema<AdapterId>(),
  }),
  z.strictObject({
    kind: z.literal("set_service"),
    service: idSchema<ServiceId>(),
    target: targetSchema,
  }),
  z.strictObject({
    kind: z.literal("remove_service"),
    service: idSchema<ServiceId>(),
  }),
]);

/** The maximum number of changes in one record. */
export const MAXIMUM_RECORD_CHANGES = 500;

/**
 * The newest record format that this release reads. The format number fixes
 * the meaning of a record: any change to {@link configurationRecordSchema}
 * needs a new number, otherwise two releases would decide differently about
 * the same record.
 */
export const RECORD_FORMAT = 1;

const changesSchema = z.array(changeSchema).min(1).max(MAXIMUM_RECORD_CHANGES)
  .superRefine((changes, context) => {
    const seenItems = new Set<ItemKey>();
    for (const [index, change] of changes.entries()) {
      const item = itemKeyOf(change);
      if (seenItems.has(item)) {
        context.addIssue({
          code: "custom",
          path: [index],
          message: `changes ${item} a second time; name each item once`,
        });
      }
      seenItems.add(item);
      if (hasUnlistedCurrentVersion(change)) {
        context.addIssue({
          code: "custom",
          path: [index, "current"],
          message: `of ${item} is not one of its versions; name one of them`,
        });
      }
    }
  });

function hasUnlistedCurrentVersion(
  change: z.output<typeof changeSchema>,
): boolean {
  return change.kind === "set_adapter" &&
    !change.versions.includes(change.current);
}

/** The schema of a configuration record in the log. */
export const configurationRecordSchema = z.object({
  id: z.string().min(1).max(MAXIMUM_TEXT_CHARACTERS).transform((value) =>
    value as ChangeId
  ),
  author: z.string().max(MAXIMUM_TEXT_CHARACTERS),
  /** The offset of the configuration that the author saw; -1 for none. */
  base: z.number().int().min(-1).transform((value) => value as LogOffset),
  changes: changesSchema,
});

/** The latency targets of a class or service. */
export type LatencyTarget = z.output<typeof targetSchema>;

/** A change of one configuration item. */
export type ConfigurationChange = z.output<typeof changeSchema>;

/** A set of changes that are accepted or refused together. */
export type ConfigurationRecord = z.output<typeof configurationRecordSchema>;
