import {
  type ContentDigest,
  contentDigest,
  type Suspect,
} from "@foxtailwind/core";
import { createHash } from "node:crypto";
import type { GenerationRequest } from "../serving/generation_request.ts";

/** The maximum number of messages of a prompt that are told apart. */
const MAXIMUM_MESSAGES = 64;

type PromptedGeneration = Pick<
  GenerationRequest,
  "model" | "adapter" | "messages" | "maximumTokens"
>;

/**
 * Returns what of a request may crash engines: its whole content, and each
 * message that other requests may share. The last message is the request's own.
 * @param generation The request.
 * @returns The suspects.
 */
export function generationSuspects(
  generation: PromptedGeneration,
): readonly Suspect[] {
  const messages = generation.messages.slice(0, -1).slice(0, MAXIMUM_MESSAGES)
    .map(({ role, content }) => digest([generation.model, role, content]));
  return [
    { content: digestGenerationContent(generation) },
    ...[...new Set(messages)].map((content, partPosition) => ({
      content,
      partPosition,
    })),
  ];
}

/**
 * Computes the digest of what a request asks of an engine, independent of its
 * request id and node.
 * @param generation The request.
 * @returns The digest of model, adapter, messages and length.
 */
export function digestGenerationContent(
  { model, adapter, messages, maximumTokens }: PromptedGeneration,
): ContentDigest {
  return digest([
    model,
    adapter.adapter,
    adapter.version,
    messages.map(({ role, content }) => [role, content]),
    maximumTokens,
  ]);
}

function digest(fields: readonly unknown[]): ContentDigest {
  const hash = createHash("sha256").update(JSON.stringify(fields));
  return contentDigest(hash.digest("base64url"));
}
