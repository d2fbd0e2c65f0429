import type { AttemptNumber, Failure } from "../shared/mod.ts";
import type { ReceivedFrame } from "./frame_filter.ts";

/** The result of a generation that its engine completed. */
export interface GenerationTotals {
  readonly finishReason: "stop" | "length" | "cancelled";
  readonly promptTokens: number;
  /** All tokens of the answer, including those before a resume. */
  readonly completionTokens: number;
  readonly cachedPromptTokens: number;
}

/** An event in the delivery of a request. */
export type DeliveryEvent =
  | { readonly kind: "frame"; readonly frame: ReceivedFrame }
  | {
    readonly kind: "completed";
    readonly attempt: AttemptNumber;
    readonly totals: GenerationTotals;
  }
  | {
    readonly kind: "failed";
    readonly attempt: AttemptNumber;
    readonly failure: Failure;
  }
  | { readonly kind: "caller_left" }
  | { readonly kind: "tick" };

/** An action that a delivery asks its caller to carry out. */
export type DeliveryAction =
  | {
    readonly kind: "attempt";
    readonly attempt: AttemptNumber;
    readonly fromSequence: number;
  }
  | {
    /** Stops reading an attempt, and on request stops it at the engine. */
    readonly kind: "cancel";
    readonly attempt: AttemptNumber;
    readonly atEngine: boolean;
  }
  | {
    readonly kind: "pass";
    readonly sequence: number;
    readonly tokens: readonly string[];
  }
  | { readonly kind: "complete"; readonly totals: GenerationTotals }
  | { readonly kind: "fail"; readonly failure: Failure };
