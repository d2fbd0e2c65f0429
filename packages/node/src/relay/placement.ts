import type {
  BackendServerId,
  ClientAccountId,
  Duration,
  Instant,
  NodeId,
  PlaceRefusal,
  RegisteredServer,
} from "@foxtailwind/core";
import type { GrantAnswer } from "./adapter_grants.ts";
import type { ModelUse } from "./caller_wire.ts";

/** The server chosen for a request, with the callbacks for its end. */
export interface Placement {
  readonly server: RegisteredServer;
  /** The adapter version that must serve the request, if known. */
  readonly adapterVersion?: number;
  /** Ends the use, if one was granted. */
  readonly release: () => void;
  /** Called if the server lacked the model or adapter of the request. */
  readonly reportMiss: () => void;
}

/** An engine that was asked for a placement, and its answer. */
export interface PlacementAnswer {
  readonly engine: BackendServerId;
  /** The owner that was asked; `undefined` if none is known. */
  readonly owner?: NodeId;
  /**
   * The owner's answer. A question is withdrawn if another engine granted a
   * place, or nobody waited any longer, before this answer was overdue.
   */
  readonly answer: GrantAnswer["kind"] | "no_owner" | "withdrawn";
}

/** How a request waits for a place, at whichever engine. */
export interface PlacementQueueing {
  /** The priority of its class; 0 is the most urgent. */
  readonly priority: number;
  readonly account: ClientAccountId | undefined;
  /** When it stops waiting for a place. */
  readonly waitsUntil: Instant;
}

/** The terms of the search for a placement. */
export interface PlacementSearch {
  /** When the first event is due. */
  readonly firstEventDeadline: Instant;
  /** The longest pause between two events that isn't late, if limited. */
  readonly longestPause: Duration | undefined;
  /**
   * Whether only servers are chosen whose software is known for certain: what a
   * stream that may be resumed holds must come from one version of it.
   */
  readonly needsKnownSoftware: boolean;
  /** Cancels the search. */
  readonly signal: AbortSignal;
  /** Called with the answer of each engine that was asked. */
  readonly onAnswer: (answer: PlacementAnswer) => void;
  /** Absent if the request doesn't wait for a place. */
  readonly queueing?: PlacementQueueing;
  /**
   * Called if engines can't begin the request before it stops waiting, with
   * the time at which there is room, and whether all that were asked said so.
   */
  readonly onNoRoom?: (retryAfter: Duration, isCertain: boolean) => void;
}

/** One round of questions for a place. */
export interface PlacementRound {
  readonly use: ModelUse;
  readonly minimumVersion: number;
  readonly search: PlacementSearch;
  /** Whether a place is wanted only if the first event can be in time. */
  readonly onlyInTime: boolean;
  /** Receives the engines that have room later. */
  readonly refusals: Map<BackendServerId, PlaceRefusal>;
}
