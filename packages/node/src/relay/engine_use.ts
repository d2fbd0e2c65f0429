import type {
  AdapterName,
  Duration,
  ModelId,
  ServerStart,
} from "@foxtailwind/core";

/** A request to use an adapter or a base model. */
export interface UseRequest {
  readonly model: ModelId;
  /** `undefined` for the base model itself. */
  readonly adapter?: AdapterName["adapter"];
  readonly minimumVersion: number;
  /** The requesting node's estimate of the prompt's prefill time. */
  readonly prefillTime: Duration;
  /** The time until the first event is due; negative if it is overdue. */
  readonly timeLeft: Duration;
  /** Whether the prefill of earlier prompts has to be finished first. */
  readonly needsBreak: boolean;
}

/** An owner's answer to a request for a use. */
export type UseAnswer =
  | {
    readonly kind: "granted";
    /** 0 for the base model, or if the engine hasn't reported a version. */
    readonly version: number;
    /** The engine's start that the use is granted for, if known. */
    readonly start: ServerStart | undefined;
    /** Aborted when the use ends with that start. */
    readonly endSignal: AbortSignal;
    /** Ends the use. */
    readonly release: () => void;
  }
  | { readonly kind: "not_owner" }
  | { readonly kind: "no_room" };
