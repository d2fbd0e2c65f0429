import {
  type ConfigurationRecord,
  configurationRecordSchema,
  type LogOffset,
} from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import * as z from "zod";
import {
  type PublishFailure,
  publishFailure,
} from "../configuration/publish_failure.ts";

const DEFAULT_AUTHOR = "operator";

/** What an operator may leave out of a record. */
export interface RecordDefaults {
  /** The offset that is taken as the base where none is given. */
  readonly offset: LogOffset;
}

/**
 * Reads a record from an operator's request.
 * @param body The request's body.
 * @param defaults What is taken where the body says nothing.
 * @returns The record, or every problem at once.
 */
export function readPublishBody(
  body: unknown,
  defaults: RecordDefaults,
): Result<ConfigurationRecord, PublishFailure> {
  const given = typeof body === "object" && body !== null ? body : {};
  if ("id" in given && !("base" in given)) return err(ID_WITHOUT_BASE);
  const record = publishSchema.safeParse({
    id: randomUUID(),
    author: DEFAULT_AUTHOR,
    base: defaults.offset,
    ...given,
  });
  if (record.success) return ok(record.data);
  return err(publishFailure("invalid", {
    message: `The record cannot be read. ${describeIssues(record.error)}`,
    remedy: "Correct these keys; nothing was published.",
  }));
}

/** Else a repeat that comes long after would take a new base, and run again. */
const ID_WITHOUT_BASE = publishFailure("invalid", {
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
