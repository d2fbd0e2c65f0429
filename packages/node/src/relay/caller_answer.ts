import { resetConnection } from "@foxtailwind/edges";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connectionHeaders } from "../http/connection_headers.ts";
import type { AnswerHead } from "./backend_call.ts";
import type { UnreadAnswers } from "./clients/unread_answers.ts";
import { endAfterInput } from "./clients/lingering_end.ts";

/** A refusal that this node itself answers with. */
export interface NodeRefusal {
  /** Identifies the reason. */
  readonly code: string;
  /** Sent as `Retry-After`. */
  readonly retryAfterSeconds?: number;
}

/** How the head of a server's answer is written to the caller. */
export interface AnswerTerms {
  /** Its length in bytes, if it is known but the server didn't state it. */
  readonly length?: number;
  /** Whether the server's length is left out, since it may end otherwise. */
  readonly dropsLength: boolean;
  /** Whether the caller must use another connection afterwards. */
  readonly closesConnection: boolean;
}

/** The answer to one caller, which may be assembled from several servers. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #unread: Pick<UnreadAnswers, "record">;

  /**
   * @param response The response that it is written to.
   * @param unread Counts what the caller has not read.
   */
  constructor(response: ServerResponse, unread: Pick<UnreadAnswers, "record">) {
    this.#response = response;
    this.#unread = unread;
  }

  /** Whether the caller has to catch up before more is written. */
  get isUnread(): boolean {
    return this.#response.writableNeedDrain;
  }

  /** Whether a head was sent to the caller. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /**
   * Writes the head of a server's answer.
   * @param head The head.
   * @param terms How it is written.
   */
  begin({ status, headers }: AnswerHead, terms: AnswerTerms): void {
    const response = this.#response;
    response.statusCode = status;
    response.sendDate = false;
    const droppedNames = connectionHeaders(
      [headers["connection"] ?? []].flat(),
    );
    for (const [name, value] of Object.entries(headers)) {
      if (value === undefined || droppedNames.has(name)) continue;
      if (terms.dropsLength && name === "content-length") continue;
      response.setHeader(name, value);
    }
    if (terms.length !== undefined) {
      response.setHeader("content-length", terms.length);
    }
    if (terms.closesConnection) response.setHeader("connection", "close");
    response.flushHeaders();
  }

  /**
   * Writes bytes of the body.
   * @param bytes The bytes.
   * @returns Whether the caller keeps up.
   */
  write(bytes: Buffer): boolean {
    const keepsUp = this.#response.write(bytes);
    if (!keepsUp) this.#unread.record(this.#response);
    return keepsUp;
  }

  /** Ends a complete answer. */
  end(): void {
    this.#response.end();
  }

  /**
   * Answers with a refusal by this node, or aborts an answer that has begun.
   * @param status The status.
   * @param refusal The refusal.
   */
  refuse(status: number, refusal: NodeRefusal): void {
    if (this.hasBegun) this.abort();
    else writeRefusal(this.#response, status, refusal);
  }

  /** Announces that the connection closes after this answer. */
  announceClose(): void {
    if (!this.hasBegun) this.#response.setHeader("connection", "close");
  }

  /** Aborts an incomplete answer so that it isn't taken as complete. */
  abort(): void {
    const { socket } = this.#response;
    if (this.#isCloseDelimited && socket !== null) resetConnection(socket);
    else this.#response.destroy();
  }

  /**
   * Whether the end of the connection marks the end of the answer, so that only
   * a reset shows a failure. HTTP/1.0 callers get such answers, since they
   * don't support chunked encoding.
   */
  get #isCloseDelimited(): boolean {
    const response = this.#response;
    return response.headersSent && !response.chunkedEncoding &&
      !response.hasHeader("content-length");
  }
}

/**
 * Writes a refusal by this node as the complete answer.
 * @param response The response.
 * @param status The status.
 * @param refusal The refusal.
 */
export function writeRefusal(
  response: ServerResponse,
  status: number,
  refusal: NodeRefusal,
): void {
  response.end(writeRefusalHead(response, status, refusal));
}

/**
 * Answers a request that is incomplete with a refusal by this node, and closes
 * the connection.
 * @param message The request.
 * @param response The response.
 * @param refusal The status and the refusal.
 */
export function refuseIncomplete(
  message: IncomingMessage,
  response: ServerResponse,
  { status, refusal }: {
    readonly status: number;
    readonly refusal: NodeRefusal;
  },
): void {
  response.setHeader("connection", "close");
  response.write(writeRefusalHead(response, status, refusal));
  endAfterInput(message, response);
}

/** Prepares the head of a refusal; returns its body. */
function writeRefusalHead(
  response: ServerResponse,
  status: number,
  refusal: NodeRefusal,
): string {
  const body = JSON.stringify({ error: refusal.code });
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.setHeader("content-length", Buffer.byteLength(body));
  if (refusal.retryAfterSeconds !== undefined) {
    response.setHeader("retry-after", String(refusal.retryAfterSeconds));
  }
  return body;
}
