import {
  type Duration,
  type KeyScopeLimits,
  milliseconds,
  seconds,
} from "@foxtailwind/core";

/**
 * How long the claim of a free key is kept. Retries must arrive within this
 * time, and the log must retain its records for longer.
 */
export const FREE_KEY_WINDOW: Duration = seconds(900);

/** How long a scoped key may be retried after its scope closes for new keys. */
export const SCOPED_KEY_RETRY_WINDOW: Duration = FREE_KEY_WINDOW;

const RETENTION_MARGIN_MILLISECONDS = 60_000;

/** Limits on the lifetime of key scopes. */
export const KEY_SCOPE_LIMITS: KeyScopeLimits = {
  maximumScopeLifetime: seconds(3_600),
};

/** Limits on the keys and answers that one node keeps. */
export const KEY_LEDGER_LIMITS = {
  maximumKeys: 100_000,
  maximumAnswerBytes: 16 * 1_024 * 1_024,
  retention: milliseconds(FREE_KEY_WINDOW + RETENTION_MARGIN_MILLISECONDS),
} as const;
