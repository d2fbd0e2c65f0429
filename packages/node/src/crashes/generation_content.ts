import { type ContentDigest, contentDigest } from "@foxtailwind/core";
import { createHash } from "node:crypto";
import type { GenerationRequest } from "../serving/generation_request.ts";

/**
 * Computes the digest of what a request asks of an engine, independent of its
 * request id and node.
 * @param generation The request.
 * @returns The digest of model, adapter, messages and length.
 */
export function digestGenerationContent(
  { model, adapter, messages, maximumTokens }: Pick<
    GenerationRequest,
    "model" | "adapter" | "messages" | "maximumTokens"
  >,
): ContentDigest {
  const text = JSON.stringify([
    model,
    adapter.adapter,
    adapter.version,
    messages.map(({ role, content }) => [role, content]),
    maximumTokens,
  ]);
  return contentDigest(createHash("sha256").update(text).digest("base64url"));
}
