import {
  type Failure,
  type Instant,
  later,
  type NodeId,
} from "../shared/mod.ts";
import type { DeliveryRules } from "./delivery_rules.ts";
import type { KeyScope } from "./execution_key.ts";
import { invalidScope } from "./key_failures.ts";
import type { KeyScopeLimits } from "./key_scope_limits.ts";

/**
 * Checks whether a key scope of this incarnation is valid.
 * @param now The present time.
 * @param scope The scope.
 * @param options This node, its delivery rules and its limits on scopes.
 * @returns Why the scope is not valid, or nothing if it is.
 */
export function checkScope(
  now: Instant,
  scope: KeyScope,
  options: {
    readonly self: NodeId;
    readonly rules: DeliveryRules;
    readonly timing: KeyScopeLimits;
  },
): Failure | undefined {
  const { self, rules, timing } = options;
  if (!rules.acceptsExpiry(now, scope.expiresAt)) {
    return invalidScope("expired", self);
  }
  const latest = later(now, timing.maximumScopeLifetime);
  if (scope.expiresAt > latest) return invalidScope("invalid", self);
  return undefined;
}
