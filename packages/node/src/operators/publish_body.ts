import {
  type ConfigurationRecord,
  configurationRecordSchema,
  type LogOffset,
} from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import * as z from "zod";
import {
  createPublishFailure,
  type PublishFailure,
} from "../configuration/publish_failure.ts";

const DEFAULT_AUTHOR = "operator";

/** Defaults for fields that an operator may omit from a record. */
export interface RecordDefaults {
  /** The base offset when the request gives none. */
  readonly offset: LogOffset;
}

/**
 * Parses a configuration record from an operator's request.
 * @param body The request's body.
 * @param defaults Values for omitted fields.
 * @returns The record, or a failure that lists all validation errors.
 */
export function readPublishBody(
  body: unknown,
  defaults: RecordDefaults,
): Result<ConfigurationRecord, PublishFailure> {
  const fields = typeof body === "object" && body !== null ? body : {};
  if ("id" in fields && !("base" in fields)) return err(ID_WITHOUT_BASE);
  const record = publishSchema.safeParse({
    id: randomUUID(),
    author: DEFAULT_AUTHOR,
    base: defaults.offset,
    ...fields,
  });
  if (record.success) return ok(record.data);
  return err(createPublishFailure("invalid", {
    message: `The record cannot be read. ${describeIssues(record.error)}`,
    remedy: "Correct these keys; nothing was published.",
  }));
}

/** Without a base, a late retry would get a new base and be applied again. */
const ID_WITHOUT_BASE = createPublishFailure("invalid", {
  message: "base: must be given together with an id.",
  remedy: "Give the offset of the configuration that the change was made from.",
});

const publishSchema = z.strictObject(configurationRecordSchema.shape);

function describeIssues(error: z.ZodError): string {
  return error.issues.map(({ path, message }) => {
    const key = path.join(".");
    return key === "" ? `${message}.` : `${key}: ${message}.`;
  }).join(" ");
}
