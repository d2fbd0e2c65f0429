import type { Duration } from "../shared/mod.ts";

/** How long keys may be used. */
export interface KeyTiming {
  /** How long a scope may be valid from now; longer ones are forged. */
  readonly maximumScopeLifetime: Duration;
}
