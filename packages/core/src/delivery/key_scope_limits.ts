import type { Duration } from "../shared/mod.ts";

/** Limits on the validity of key scopes. */
export interface KeyScopeLimits {
  /** The longest time to a scope's expiry; a later expiry is forged. */
  readonly maximumScopeLifetime: Duration;
}
