import type { AttemptNumber, Failure } from "../shared/mod.ts";
import type { ArrivingFrame } from "./frame_gate.ts";

/** How a generation ended at its engine. */
export interface GenerationTotals {
  readonly finishReason: "stop" | "length" | "cancelled";
  readonly promptTokens: number;
  /** All tokens of the answer, those before a resume included. */
  readonly completionTokens: number;
  readonly cachedPromptTokens: number;
}

/** What happens to a request on its way. */
export type DeliveryEvent =
  | { readonly kind: "frame"; readonly frame: ArrivingFrame }
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

/** What is to be done for a request. */
export type DeliveryAction =
  | {
    readonly kind: "attempt";
    readonly attempt: AttemptNumber;
    readonly fromSequence: number;
  }
  | {
    /** Reads an attempt no further; where asked, the engine stops it too. */
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
