import type { AdapterReference, RequestId } from "../shared/mod.ts";
import type { DeliveryRules } from "./delivery_rules.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** One request, and the rules by which it is delivered. */
export interface DeliveryOptions {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether the caller gets tokens before the whole answer is known. */
  readonly streamed: boolean;
  readonly maximumAttempts: number;
  readonly budget: RetryBudget;
  readonly rules: DeliveryRules;
}
