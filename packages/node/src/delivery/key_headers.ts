/** Carries the caller's key, for which the request runs at most once. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Marks a request that must not run twice, with or without a key. */
export const NOT_REPEATABLE_HEADER = "x-foxtailwind-not-repeatable";

/**
 * Parses the header {@link NOT_REPEATABLE_HEADER}.
 * @param value The header's value.
 * @returns Whether the request must not run twice.
 */
export function isNotRepeatable(value: string | undefined): boolean {
  return value?.trim().toLowerCase() === "true";
}
