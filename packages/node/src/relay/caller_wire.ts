import type {
  AdapterId,
  BackendServerId,
  Duration,
  ModelId,
  RequestId,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";

/** What a model engine has to know of a request. */
export interface ModelUse {
  readonly model: ModelId;
  /** Left out for the base model itself. */
  readonly adapter?: AdapterId;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** What a caller's headers say of its request. */
export interface CallerRequest {
  readonly id: RequestId;
  /** How long the caller waits, from its send. */
  readonly patience?: Duration;
  readonly use?: ModelUse;
  /** The last event that the caller has, of a stream to be resumed. */
  readonly lastEventId?: string;
}

/** What one send to a backend server carries besides the caller's own. */
export interface SendTerms {
  readonly server: BackendServerId;
  /** How long the server may work on it. */
  readonly timeLeft: Duration;
  /** The version that must serve it, where the server is an engine. */
  readonly adapterVersion?: number;
  /** 0 is the most urgent; set where the server is an engine. */
  readonly urgency?: number;
  /** Where a stream goes on, instead of what the caller said. */
  readonly resumeAfter?: string;
}

/** What a server's answer says by its status and headers. */
export interface AnswerFacts {
  /** The request that it answers, where it says so. */
  readonly requestId?: string;
  /** Whether the server says that it has not run the request. */
  readonly notRun: boolean;
  /** Whether another server has the address now. */
  readonly isMisdirected: boolean;
  /** The requests a second that the server takes from all nodes together. */
  readonly requestLimit?: number;
  /** Whether it carries what the body of a success has to come with. */
  readonly isAttested: boolean;
}

/** How callers' requests and servers' answers are written. */
export abstract class RelayWire {
  /**
   * Reads a request's headers.
   * @param headers The headers.
   * @returns The request, or what is wrong with it.
   */
  abstract readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string>;

  /**
   * Writes the headers of a send: the caller's own, without those that
   * concern one connection or that only the system may set.
   * @param rawHeaders The caller's headers, names and values by turns.
   * @param terms What the system sets.
   * @returns Names and values by turns.
   */
  abstract sendHeaders(
    rawHeaders: readonly string[],
    terms: SendTerms,
  ): string[];

  /**
   * Reads an answer's status and headers.
   * @param status The status.
   * @param headers The headers.
   * @returns What they say.
   */
  abstract readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerFacts;
}
