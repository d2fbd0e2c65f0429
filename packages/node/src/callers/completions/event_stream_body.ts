import { Buffer } from "node:buffer";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";

const OK = 200;
const HEXADECIMAL = 16;
const LAST_CHUNK = "0\r\n\r\n";

/**
 * The body of a streamed response. It applies the chunked transfer coding (RFC
 * 9112, section 7.1) itself, because Node's HTTP server would pass the kernel
 * four buffers per part where one is enough.
 */
export class EventStreamBody {
  readonly #response: ServerResponse;
  #chunked = false;

  /** @param response The response, before its header is sent. */
  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /**
   * Prepares the header, which is sent with the first part.
   * @param headers The header fields, except for the transfer coding.
   */
  start(headers: OutgoingHttpHeaders): void {
    const response = this.#response;
    // HTTP/1.0 has no chunked coding; the connection's end ends the body.
    this.#chunked = response.useChunkedEncodingByDefault;
    if (!this.#chunked) {
      response.writeHead(OK, headers);
      return;
    }
    response.writeHead(OK, { ...headers, "transfer-encoding": "chunked" });
    response.chunkedEncoding = false;
  }

  /**
   * Encodes a part of the body.
   * @param text The part, not empty.
   * @returns The encoded part, ready to write.
   */
  encodePart(text: string): string {
    if (!this.#chunked) return text;
    const size = Buffer.byteLength(text).toString(HEXADECIMAL);
    return `${size}\r\n${text}\r\n`;
  }

  /**
   * Writes the last part and ends the response.
   * @param text The part, not empty.
   */
  end(text: string): void {
    const last = this.#chunked ? LAST_CHUNK : "";
    this.#response.end(this.encodePart(text) + last);
  }
}
