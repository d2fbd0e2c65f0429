import { err, ok, type Result } from "neverthrow";
import type { ReportedFailure } from "@foxtailwind/edges";
import * as z from "zod";
import { refusal } from "./refusal.ts";

/**
 * Validates a caller's input with a schema.
 * @param schema The schema.
 * @param value The body, the query or the path parameters.
 * @returns The parsed value, or the refusal to send.
 */
export function parseInput<Value>(
  schema: z.ZodType<Value>,
  value: unknown,
): Result<Value, ReportedFailure> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(refusal("invalid", z.prettifyError(parsed.error)));
}
