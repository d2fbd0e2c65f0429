import type { ServerStart } from "@foxtailwind/core";
import type { WritingEnd } from "./answer_writer.ts";
import type { AnswerFraming, AnswerKind } from "./answer_plan.ts";
import type { SendTimes } from "./send_times.ts";
import { StallWatch } from "./stall_watch.ts";

/** The kinds of request, by the first part of their paths. */
export const REQUEST_KINDS = ["drafts", "notes", "once", "lookups"] as const;

/** Streams that may not and may be resumed; plain ones that may not repeat. */
export type RequestKind = typeof REQUEST_KINDS[number];

/** One request of a caller, and what came of it. */
export interface CallRecord {
  readonly id: string;
  readonly kind: RequestKind | "extra";
  readonly adapter?: string;
  /** The parts of its prompt that it shares with others. */
  readonly sharedParts?: readonly string[];
  /** The oldest version that may serve it. */
  readonly leastVersion: number;
  /** Whether the route must be there, or must not; open where it moves. */
  isRouted?: boolean;
  /** The stream that it resumes, if it does. */
  readonly resumes?: ResumedStream;
  readonly node: NodeRunRecord;
  readonly sentAt: number;
  /** After which it must have ended, in milliseconds. */
  readonly limit: number;
  end?: CallEndRecord;
}

/** A stream that a caller resumes. */
export interface ResumedStream {
  /** The attempt that brought the first event. */
  readonly attempt: string;
  readonly lastEvent: number;
  /** The software that wrote its events so far. */
  readonly software: readonly string[];
}

/** A time in which a server took requests. */
export interface ServingTime {
  readonly server: string;
  readonly service: string;
  readonly software: string;
  readonly from: number;
  to?: number;
}

/** How a request ended for its caller. */
export interface CallEndRecord {
  readonly at: number;
  /** Left out where no head came. */
  readonly status?: number;
  readonly framing?: AnswerFraming;
  /** The server whose answer it is, or whose began it. */
  readonly seal?: string;
  /** Whether the answer ended as its framing says. */
  readonly isComplete: boolean;
  readonly body: string;
  /** Whether the caller left before the end. */
  readonly isAbandoned?: boolean;
  readonly detail?: string;
}

/** One run of a node's process. */
export interface NodeRunRecord {
  readonly name: string;
  readonly startedAt: number;
  /** Set once it was cut off at once. */
  cutAt?: number;
  /** Set once it was told to stop. */
  stoppedAt?: number;
  /** When the store did not answer it. */
  readonly outages: { readonly from: number; to?: number }[];
  /** Its log, one JSON text a line. */
  readonly lines: string[];
  /** When its connections to servers were reset. */
  readonly lostServersAt: number[];
  /** When its connections to all peers were reset. */
  readonly lostPeersAt: number[];
}

/** One send of a request to a server. */
export interface SendRecord {
  readonly request: string;
  readonly service: string;
  readonly server: string;
  /** The run of the node that sent it; a peer of the caller's if forwarded. */
  readonly sentBy: string;
  /** When the server read it. */
  readonly at: number;
  /** When its node wrote it and read an answer. */
  readonly times: SendTimes;
  /** What the server made of it; "misdirected" where it holds no adapter. */
  readonly made: AnswerKind | "misdirected";
  readonly framing: AnswerFraming;
  readonly version?: number;
  /** The start of the server that it reached. */
  readonly start: ServerStart;
  /** Whether the answer announces the server's departure. */
  readonly isLeaving: boolean;
  /** The backoff that the answer asks for, in seconds. */
  readonly retryAfter?: number;
  /** When the head of the answer was written. */
  headAt?: number;
  end?: WritingEnd;
  endedAt?: number;
}

/** Something that must not happen, and did. */
export interface BrokenInvariant {
  readonly invariant: string;
  readonly detail: string;
}

/** What callers and servers saw of one run. */
export class RelayRecord {
  readonly calls: CallRecord[] = [];
  readonly sends: SendRecord[] = [];
  readonly broken: BrokenInvariant[] = [];
  /** When which server took requests, in the order of their begin. */
  readonly servingTimes: ServingTime[] = [];
  /** When engines ended under requests with a part that crashes them. */
  readonly partCrashes: number[] = [];
  readonly stalls = new StallWatch();
  /** The runs of nodes, by name. */
  readonly nodeRuns = new Map<string, NodeRunRecord>();
  /** Starts of nodes, which count the nodes' shares anew. */
  nodeStarts = 0;
  readonly #sendsOf = new Map<string, SendRecord[]>();

  /**
   * Lists the sends of a request.
   * @param request The request's id.
   * @returns The sends, in the order in which they came.
   */
  sendsOf(request: string): readonly SendRecord[] {
    return this.#sendsOf.get(request) ?? [];
  }

  /**
   * Takes note of a send.
   * @param send The send.
   */
  sent(send: SendRecord): void {
    this.sends.push(send);
    const known = this.#sendsOf.get(send.request);
    if (known === undefined) this.#sendsOf.set(send.request, [send]);
    else known.push(send);
  }

  /**
   * Takes note of a broken invariant.
   * @param invariant Its name.
   * @param detail What was seen.
   */
  breaks(invariant: string, detail: string): void {
    this.broken.push({ invariant, detail });
  }
}

/** Whether a server may have begun to run what was sent to it. */
export function hasRun({ made }: SendRecord): boolean {
  return made !== "misdirected" && made !== "refuse" &&
    made !== "refuse_unnamed";
}
