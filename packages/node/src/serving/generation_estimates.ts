import {
  type Instant,
  milliseconds,
  type QueuedRequest,
} from "@foxtailwind/core";
import { hashPromptPrefixes } from "@foxtailwind/edges";
import type { GenerationRequest } from "./generation_request.ts";

const CHARACTERS_PER_TOKEN = 4;

/**
 * Converts a request to the form that a controller queues.
 * @param now The present time.
 * @param generation The request.
 * @returns The properties that decisions depend on.
 */
export function toQueuedRequest(
  now: Instant,
  generation: GenerationRequest,
): QueuedRequest {
  const prefixHash = sharedPrefixHash(generation);
  return {
    request: generation.request,
    adapter: generation.adapter,
    class: generation.class,
    tenant: generation.tenant,
    firstTokenTarget: generation.firstTokenTarget,
    waitedBefore: milliseconds(now - generation.arrivedAt),
    promptTokens: estimatePromptTokens(generation),
    maximumTokens: generation.maximumTokens,
    ...(prefixHash === undefined ? {} : { prefixHash }),
  };
}

/** Hashes the first message, which is what requests have in common. */
function sharedPrefixHash(generation: GenerationRequest): string | undefined {
  if (generation.messages.length < 2) return undefined;
  return hashPromptPrefixes(generation.messages.slice(0, 1))[0]?.hash;
}

function estimatePromptTokens(generation: GenerationRequest): number {
  let characters = 0;
  for (const message of generation.messages) {
    characters += message.content.length;
  }
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}
