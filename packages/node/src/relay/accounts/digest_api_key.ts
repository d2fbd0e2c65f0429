import { type ApiKeyDigest, apiKeyDigest } from "@foxtailwind/core";
import { createHash } from "node:crypto";

/**
 * Computes the digest of an API key, so that no other part of a node, no peer
 * and no log has the key itself. Keys are random, so they need no salt.
 * @param key The key.
 * @returns Its SHA-256 digest.
 */
export function digestApiKey(key: string): ApiKeyDigest {
  return apiKeyDigest(createHash("sha256").update(key).digest("base64url"));
}
