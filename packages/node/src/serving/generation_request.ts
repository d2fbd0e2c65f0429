import type {
  AdapterReference,
  AttemptNumber,
  ClassId,
  Duration,
  Instant,
  ModelId,
  RequestId,
  TenantId,
} from "@foxtailwind/core";
import type { PromptMessage } from "@foxtailwind/edges";

/** A caller's request for generation, resolved against the configuration. */
export interface GenerationRequest {
  readonly request: RequestId;
  readonly model: ModelId;
  readonly adapter: AdapterReference;
  readonly class: ClassId;
  readonly tenant: TenantId;
  readonly firstTokenTarget: Duration;
  readonly messages: readonly PromptMessage[];
  readonly maximumTokens: number;
  /** The number of this attempt; absent for the first. */
  readonly attempt?: AttemptNumber;
  /** The token from which to resume a broken stream; 0 for a new one. */
  readonly fromSequence?: number;
  /** The time of arrival by this VM's clock. */
  readonly arrivedAt: Instant;
}
