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
  /** Whether the end of the connection is the end of the answer. */
  readonly isOpenEnded: boolean;
  /** Whether another server may go on with it, to another length. */
  readonly isResumable: boolean;
  /** Whether the caller is to come back on another connection. */
  readonly isLast: boolean;
}

/** The answer that one caller gets, from however many servers. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  #isOpenEnded = false;

  /** @param response Where it is written. */
  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Whether the caller has been told that its answer ends with the connection. */
  get isOpenEnded(): boolean {
    return this.#isOpenEnded;
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
    if (terms.isLast) response.setHeader("connection", "close");
    if (terms.isOpenEnded) this.#frameOpenEnded();
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

  /** Ends an answer that can't be completed, so that it doesn't look whole. */
  breakOff(): void {
    const { socket } = this.#response;
    // Where the connection's end is the answer's, only a reset tells a failure.
    if (this.#isOpenEnded && socket !== null) socket.resetAndDestroy();
    else this.#response.destroy();
  }

  #frameOpenEnded(): void {
    this.#isOpenEnded = true;
    // Without this header and a length, node:http ends with the connection.
    this.#response.setHeader("connection", "close");
    this.#response.removeHeader("transfer-encoding");
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
