import {
  adapterId,
  adapterVersion,
  attemptNumber,
  classId,
  type Failure,
  type Instant,
  milliseconds,
  modelId,
  type RequestId,
  requestId,
  tenantId,
} from "@foxtailwind/core";
import type { GenerationEnd } from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { GenerationRequest } from "../serving/generation_request.ts";

/** The complete answer of a generation. */
export interface GenerationAnswer {
  readonly tokens: readonly string[];
  readonly end: GenerationEnd;
}

const generationSchema = z.object({
  model: z.string().transform(modelId),
  adapter: z.object({
    adapter: z.string().transform(adapterId),
    version: z.string().transform(adapterVersion),
  }),
  class: z.string().transform(classId),
  tenant: z.string().transform(tenantId),
  firstTokenTarget: z.number().transform(milliseconds),
  messages: z.array(z.object({
    role: z.enum(["system", "user", "assistant"]),
    content: z.string(),
  })),
  maximumTokens: z.number().int().positive(),
});

const answerSchema = z.object({
  tokens: z.array(z.string()),
  end: z.object({
    request: z.string().transform(requestId),
    attempt: z.number().transform(attemptNumber),
    finishReason: z.enum(["stop", "length", "cancelled"]),
    promptTokens: z.number(),
    completionTokens: z.number(),
    cachedPromptTokens: z.number(),
  }),
});

/**
 * Encodes a generation: only the fields that a caller's retry repeats, none
 * that differ between the request and its retry.
 * @param generation The request.
 * @returns The bytes.
 */
export function encodeGeneration(generation: GenerationRequest): Uint8Array {
  const { model, adapter, tenant, messages, maximumTokens } = generation;
  return Buffer.from(JSON.stringify({
    model,
    adapter: { adapter: adapter.adapter, version: adapter.version },
    class: generation.class,
    tenant,
    firstTokenTarget: generation.firstTokenTarget,
    messages: messages.map(({ role, content }) => ({ role, content })),
    maximumTokens,
  }));
}

/**
 * Decodes a generation.
 * @param payload The bytes.
 * @param runFields The fields that are specific to this run.
 * @returns The request, or `undefined` if the bytes are invalid.
 */
export function decodeGeneration(
  payload: Uint8Array,
  runFields: { readonly request: RequestId; readonly arrivedAt: Instant },
): GenerationRequest | undefined {
  const parsed = generationSchema.safeParse(parseJson(payload));
  return parsed.success ? { ...parsed.data, ...runFields } : undefined;
}

/**
 * Encodes an answer.
 * @param answer The answer.
 * @returns The bytes.
 */
export function encodeAnswer(answer: GenerationAnswer): Uint8Array {
  return Buffer.from(JSON.stringify(answer));
}

/**
 * Decodes an answer.
 * @param payload The bytes.
 * @returns The answer, or a failure if the bytes are invalid.
 */
export function decodeAnswer(
  payload: Uint8Array,
): Result<GenerationAnswer, Failure> {
  const parsed = answerSchema.safeParse(parseJson(payload));
  return parsed.success ? ok(parsed.data) : err(unreadableGeneration("ran"));
}

/**
 * Creates the failure of a message that cannot be decoded.
 * @param outcome Whether the generation is known to have run.
 * @returns The failure.
 */
export function unreadableGeneration(outcome: Failure["outcome"]): Failure {
  return {
    reason: "corrupt",
    step: "generate",
    peer: "node",
    message: "A message about a generation cannot be read.",
    outcome,
  };
}

function parseJson(payload: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(payload).toString());
  } catch {
    return undefined;
  }
}
