import type {
  AdapterName,
  Duration,
  ModelId,
  ServerStart,
} from "@foxtailwind/core";

/** The use of an adapter that is asked for. */
export interface UseRequest {
  readonly model: ModelId;
  /** Left out for the base model itself. */
  readonly adapter?: AdapterName["adapter"];
  readonly minimumVersion: number;
  /** How long the engine reads the prompt, as the asker estimates it. */
  readonly reading: Duration;
  /** Until the first event is wanted; less than 0 where that is over. */
  readonly timeLeft: Duration;
  /** Whether the prompts before it have to be read first. */
  readonly needsBreak: boolean;
}

/** What an owner answers to a request for use. */
export type UseAnswer =
  | {
    readonly kind: "granted";
    /** 0 where the engine has not told it, or for the base model. */
    readonly version: number;
    /** The start of the engine that it is granted at, if known. */
    readonly start: ServerStart | undefined;
    /** Tells that the use has ended with that start. */
    readonly over: AbortSignal;
    /** Ends the use. */
    readonly release: () => void;
  }
  | { readonly kind: "not_owner" }
  | { readonly kind: "no_room" };
