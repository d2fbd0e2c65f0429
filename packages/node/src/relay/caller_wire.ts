import type {
  AdapterId,
  ApiKeyDigest,
  BackendServerId,
  ClientAccountId,
  Duration,
  ModelId,
  PromptPartId,
  RequestId,
  ServerStart,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";

/** What a request needs from a model engine. */
export interface ModelUse {
  readonly model: ModelId;
  /** Absent for the base model itself. */
  readonly adapter?: AdapterId;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A request as described by the caller's headers. */
export interface CallerRequest {
  readonly id: RequestId;
  /** The caller's timeout, from when it sent the request. */
  readonly patience?: Duration;
  readonly use?: ModelUse;
  /**
   * The parts of its prompt that other requests may share, in order and without
   * repeats. The last part belongs to the request itself and is left out.
   */
  readonly sharedParts?: readonly PromptPartId[];
  /** The tokens of its prompt and the most that it may generate, if stated. */
  readonly tokens?: number;
  /** The digest of its API key, if it has one. */
  readonly key?: ApiKeyDigest;
  /** The last event that the caller received of a stream to be resumed. */
  readonly lastEventId?: string;
  /** The caller's attempt that brought the first event of that stream. */
  readonly resumes?: RequestId;
  /** Whether another node forwards it, which doesn't reach its service. */
  readonly isForwarded: boolean;
}

/** What the node adds to the caller's headers in a send to a server. */
export interface SendTerms {
  readonly server: BackendServerId;
  /** The start of the server that must run it; another one rejects it. */
  readonly start?: ServerStart;
  /** The time left for the server to answer. */
  readonly timeLeft: Duration;
  /** The adapter version that must serve it, if the server is an engine. */
  readonly adapterVersion?: number;
  /** 0 is the most urgent; set if the server is an engine. */
  readonly urgency?: number;
  /** The event to resume a stream after, instead of the caller's last one. */
  readonly resumeAfterEventId?: string;
  /**
   * Whether there are client accounts: API keys are then not passed on, and
   * only the node names the account.
   */
  readonly hasAccounts: boolean;
  /** The account of the request, if it has one. */
  readonly account?: ClientAccountId;
}

/** What the status and headers of a server's answer state. */
export interface AnswerFacts {
  /** The request that it answers, if stated. */
  readonly requestId?: string;
  /** Whether the server reports that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether another server now uses the address. */
  readonly isMisdirected: boolean;
  /** Requests per second that the server accepts from all nodes together. */
  readonly requestLimit?: number;
  /** Whether the server announces that it leaves. */
  readonly isLeaving: boolean;
  /** How long the server wants no requests from this node, if stated. */
  readonly retryAfter?: Duration;
  /**
   * The rejections for want of room in a second from which on the server fails,
   * if it is brittle.
   */
  readonly rejectionLimit?: number;
  /** Whether it has the header that is required of successes with a body. */
  readonly hasSeal: boolean;
}

/** The header format of callers' requests and servers' answers. */
export abstract class RelayWire {
  /**
   * Reads a request's headers.
   * @param headers The headers.
   * @returns The request, or the reason why it is invalid.
   */
  abstract readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string>;

  /**
   * Writes the headers of a send: the caller's headers, without hop-by-hop
   * headers and those that only the system may set, and the system's own.
   * @param rawHeaders The caller's headers; names and values alternate.
   * @param terms What the system sets.
   * @returns The headers; names and values alternate.
   */
  abstract sendHeaders(
    rawHeaders: readonly string[],
    terms: SendTerms,
  ): string[];

  /**
   * Writes the headers of a request that no server runs: it is meant for none,
   * so that each one rejects it as misdirected.
   * @param id The id of the request.
   * @returns The headers; names and values alternate.
   */
  abstract probeHeaders(id: RequestId): string[];

  /**
   * Writes the headers of a request that is forwarded to a peer: the caller's
   * headers, without hop-by-hop headers, and a mark that it is forwarded.
   * @param rawHeaders The caller's headers; names and values alternate.
   * @param timeLeft The time left of the request.
   * @returns The headers; names and values alternate.
   */
  abstract forwardHeaders(
    rawHeaders: readonly string[],
    timeLeft: Duration,
  ): string[];

  /**
   * Reads an answer's status and headers.
   * @param status The status.
   * @param headers The headers.
   * @returns What they state.
   */
  abstract readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerFacts;
}
