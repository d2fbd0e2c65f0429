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
  /** Which attempt this is; the first where it is absent. */
  readonly attempt?: AttemptNumber;
  /** The next token wanted where a broken stream resumes; 0 starts anew. */
  readonly fromSequence?: number;
  /** When it arrived, by this VM's clock. */
  readonly arrivedAt: Instant;
}
