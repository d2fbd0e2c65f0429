import type { AdapterReference, RequestId } from "../shared/mod.ts";
import type { DeliveryRules } from "./delivery_rules.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** A request and the rules for its delivery. */
export interface DeliveryOptions {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether tokens are sent to the caller as they arrive. */
  readonly streamed: boolean;
  readonly maximumAttempts: number;
  readonly budget: RetryBudget;
  readonly rules: DeliveryRules;
}
