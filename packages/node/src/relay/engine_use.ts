import type {
  AdapterName,
  ClientAccountId,
  Duration,
  ModelId,
  ServerStart,
} from "@foxtailwind/core";

/** How a request waits for a place on an engine. */
export interface QueueTerms {
  /** The priority of its class; 0 is the most urgent. */
  readonly priority: number;
  readonly account?: ClientAccountId | undefined;
  /** The tokens that the engine reads and writes for it. */
  readonly work: number;
  /** How long its sender waits for a place. */
  readonly longestWait: Duration;
  /** Whether a place is wanted only if the first event can be in time. */
  readonly onlyInTime: boolean;
}

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
  /** Absent if the request doesn't wait for a place. */
  readonly queueing?: QueueTerms;
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
  | {
    readonly kind: "no_room";
    /** When there would be room, if known. */
    readonly retryAfter?: Duration;
  };

/** An owner's refusal of a use. */
export type UseRefusal = Exclude<UseAnswer, { readonly kind: "granted" }>;
