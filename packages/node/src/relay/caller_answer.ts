import { resetConnection } from "@foxtailwind/edges";
import type { ServerResponse } from "node:http";
import { connectionHeaders } from "../http/connection_headers.ts";
import type { AnswerHead } from "./backend_call.ts";

/** A refusal in the node's own words. */
export interface OwnRefusal {
  /** Why, in one word of the node's own. */
  readonly refusal: string;
  readonly comeBackSeconds?: number;
}

/** How a server's answer is begun at the caller. */
export interface AnswerTerms {
  /** Its length in bytes, where the server did not state the one that is known. */
  readonly length?: number;
  /** Whether another server may go on with it, to another length. */
  readonly isResumable: boolean;
  /** Whether the caller is to come back on another connection. */
  readonly isLast: boolean;
}

/** The answer that one caller gets, from however many servers. */
export class CallerAnswer {
  readonly #response: ServerResponse;

  /** @param response Where it is written. */
  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Whether the caller has got a head. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /**
   * Writes the head of a server's answer.
   * @param head The head.
   * @param terms How it is begun.
   */
  begin({ status, headers }: AnswerHead, terms: AnswerTerms): void {
    const response = this.#response;
    response.statusCode = status;
    response.sendDate = false;
    const dropped = connectionHeaders([headers["connection"] ?? []].flat());
    for (const [name, value] of Object.entries(headers)) {
      if (value === undefined || dropped.has(name)) continue;
      if (terms.isResumable && name === "content-length") continue;
      response.setHeader(name, value);
    }
    if (terms.length !== undefined) {
      response.setHeader("content-length", terms.length);
    }
    if (terms.isLast) response.setHeader("connection", "close");
    response.flushHeaders();
  }

  /**
   * Writes bytes of the body.
   * @param bytes The bytes.
   * @returns Whether the caller keeps up.
   */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Ends an answer that is whole. */
  end(): void {
    this.#response.end();
  }

  /**
   * Refuses in the node's own words, or breaks off what has begun.
   * @param status The status.
   * @param own What to say.
   */
  refuse(status: number, own: OwnRefusal): void {
    if (this.hasBegun) this.breakOff();
    else writeRefusal(this.#response, status, own);
  }

  /** Asks the caller to come back on another connection. */
  makeLast(): void {
    if (!this.hasBegun) this.#response.setHeader("connection", "close");
  }

  /** Ends an answer that can't be completed, so that it doesn't look whole. */
  breakOff(): void {
    const { socket } = this.#response;
    if (this.#endsWithConnection && socket !== null) resetConnection(socket);
    else this.#response.destroy();
  }

  /**
   * Whether the end of the connection is the answer's, so that only a reset
   * tells a failure: to callers of HTTP/1.0, which know no chunks.
   */
  get #endsWithConnection(): boolean {
    const response = this.#response;
    return response.headersSent && !response.chunkedEncoding &&
      !response.hasHeader("content-length");
  }
}

/**
 * Writes a refusal in the node's own words.
 * @param response The answer.
 * @param status The status.
 * @param own What to say.
 */
export function writeRefusal(
  response: ServerResponse,
  status: number,
  own: OwnRefusal,
): void {
  const body = JSON.stringify({ error: own.refusal });
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.setHeader("content-length", Buffer.byteLength(body));
  if (own.comeBackSeconds !== undefined) {
    response.setHeader("retry-after", String(own.comeBackSeconds));
  }
  response.end(body);
}
