import { createHash } from "node:crypto";
import type { PromptMessage } from "./engine_client.ts";

/** A prefix of a prompt that ends with one of its messages. */
export interface PromptPrefix {
  readonly hash: string;
  /** The number of tokens, estimated from the length of the text. */
  readonly tokens: number;
}

const ESTIMATED_CHARACTERS_PER_TOKEN = 4;
const HASH_HEX_DIGITS = 16;

/**
 * Hashes each prefix of a prompt in the way that cache events identify it.
 * @param messages The prompt's messages.
 * @returns One prefix for each message, the shortest first.
 */
export function hashPromptPrefixes(
  messages: readonly PromptMessage[],
): readonly PromptPrefix[] {
  const hash = createHash("sha1");
  let characters = 0;
  return messages.map(({ role, content }) => {
    hash.update(`${role}:${content.length}:${content}`);
    characters += content.length;
    return {
      hash: hash.copy().digest("hex").slice(0, HASH_HEX_DIGITS),
      tokens: Math.ceil(characters / ESTIMATED_CHARACTERS_PER_TOKEN),
    };
  });
}
