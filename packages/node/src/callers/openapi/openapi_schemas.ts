import * as z from "zod";
import { completionRequestSchema } from "../completions/completion_request.ts";
import {
  IGNORED_FIELDS,
  REFUSED_FIELDS,
} from "../completions/unsupported_fields.ts";

const text = { type: "string" } as const;
const count = { type: "integer", minimum: 0 } as const;

function object(properties: Readonly<Record<string, unknown>>) {
  return {
    type: "object",
    required: Object.keys(properties),
    properties,
  } as const;
}

function listOf(items: unknown) {
  return { type: "array", items } as const;
}

function reference(name: string) {
  return { $ref: `#/components/schemas/${name}` } as const;
}

const problemMembers = {
  type: { type: "string", format: "uri" },
  title: text,
  status: { type: "integer" },
  detail: text,
  outcome: {
    enum: ["not_run", "unknown", "ran"],
    description: "What is known of whether the request ran.",
  },
  step: { ...text, description: "Where in the system the error arose." },
  peer: { ...text, description: "Whom that step faced." },
};

const request = { ...text, description: "The request's id." } as const;

const completionRequest: object = z.toJSONSchema(completionRequestSchema, {
  target: "draft-2020-12",
  io: "input",
});

/** Message schemas of the caller API. */
export const OPENAPI_SCHEMAS = {
  CompletionRequest: {
    ...completionRequest,
    description: "Fields that have no effect, and are named in the answer's " +
      `header x-foxtailwind-ignored: ${IGNORED_FIELDS.join(", ")}. Fields ` +
      "that are refused unless null or neutral: " +
      `${Object.keys(REFUSED_FIELDS).join(", ")}. Others are refused.`,
  },
  Completion: object({
    id: text,
    object: { const: "chat.completion" },
    created: count,
    model: { ...text, description: "adapter@version, as it ran" },
    choices: listOf(object({
      index: count,
      message: object({ role: { const: "assistant" }, content: text }),
      finish_reason: { enum: ["stop", "length"] },
    })),
    usage: reference("Usage"),
  }),
  CompletionChunk: {
    ...object({
      id: text,
      object: { const: "chat.completion.chunk" },
      created: count,
      model: text,
      choices: listOf(object({
        index: count,
        delta: {
          type: "object",
          properties: { role: { const: "assistant" }, content: text },
        },
        finish_reason: { enum: ["stop", "length", null] },
      })),
    }),
    description: "One data event. The stream is whole only if it ends with " +
      "data: [DONE]. An event `error` has a member error, a ChatError.",
  },
  Usage: object({
    prompt_tokens: count,
    completion_tokens: count,
    total_tokens: count,
    prompt_tokens_details: object({ cached_tokens: count }),
  }),
  Model: object({
    id: text,
    object: { const: "model" },
    created: count,
    owned_by: text,
    base_model: text,
    versions: listOf(text),
    current_version: text,
  }),
  ModelPage: object({
    object: { const: "list" },
    data: listOf(reference("Model")),
    first_id: { type: ["string", "null"] },
    last_id: { type: ["string", "null"] },
    has_more: { type: "boolean" },
  }),
  Addresses: {
    ...object({
      addresses: listOf(object({
        node: text,
        url: text,
        region: text,
        failure_domain: text,
      })),
      expires_in_seconds: { type: "number" },
    }),
    description: "key_scope, where there is one, comes before the caller's " +
      "own text in an Idempotency-Key.",
  },
  Status: object({ status: text }),
  Problem: {
    ...object(problemMembers),
    description: "Problem details (RFC 9457).",
  },
  ChatError: object({
    ...problemMembers,
    message: text,
    code: text,
    request,
  }),
} as const;
