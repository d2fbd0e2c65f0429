import type { Failure } from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  type CompletionRequest,
  completionRequestSchema,
} from "./completion_request.ts";
import { checkFields } from "./unsupported_fields.ts";

/** A valid completion request and its ignored fields. */
export interface ParsedCompletion {
  readonly body: CompletionRequest;
  readonly ignored: readonly string[];
}

/**
 * Validates the body of a completion request.
 * @param body The parsed JSON.
 * @returns The request, or the failure that rejects it.
 */
export function parseCompletion(
  body: unknown,
): Result<ParsedCompletion, Failure> {
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return err(invalidRequest("The body must be a JSON object."));
  }
  const fields = checkFields(body);
  if (fields.isErr()) return err(invalidRequest(fields.error));
  const parsed = completionRequestSchema.safeParse(body);
  if (!parsed.success) return err(invalidRequest(describeIssues(parsed.error)));
  return ok({ body: parsed.data, ignored: fields.value });
}

function describeIssues(error: z.ZodError): string {
  const all = error.issues.map((issue) => {
    const place = issue.path.map(String).join(".");
    return `"${place}": ${issue.message}`;
  });
  return `The body does not fit at ${all.join("; ")}.`;
}

function invalidRequest(message: string): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message,
    outcome: "not_run",
  };
}
