/** The caller's key: the request runs at most once for it. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Marks a request that must not run twice, with or without a key. */
export const NOT_REPEATABLE_HEADER = "x-foxtailwind-not-repeatable";

/**
 * Reads the mark of a request that must not run twice.
 * @param value The header's value.
 * @returns Whether the request is marked.
 */
export function isNotRepeatable(value: string | undefined): boolean {
  return value?.trim().toLowerCase() === "true";
}
