import {
  type Duration,
  type KeyScopeLimits,
  milliseconds,
  seconds,
} from "@foxtailwind/core";

/**
 * How long a free key's claim is kept; retries must come within it. The log
 * must keep its records for longer.
 */
export const FREE_KEY_WINDOW: Duration = seconds(900);

/** How long a key of a scope may be retried once the scope is not new. */
export const SCOPED_KEY_RETRY_WINDOW: Duration = FREE_KEY_WINDOW;

const RETENTION_MARGIN_MILLISECONDS = 60_000;

/** How long keys may be used. */
export const KEY_SCOPE_LIMITS: KeyScopeLimits = {
  maximumScopeLifetime: seconds(3_600),
};

/** What one node remembers of keys. */
export const KEY_LEDGER_LIMITS = {
  maximumKeys: 100_000,
  maximumAnswerBytes: 16 * 1_024 * 1_024,
  retention: milliseconds(FREE_KEY_WINDOW + RETENTION_MARGIN_MILLISECONDS),
} as const;
