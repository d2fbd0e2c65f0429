import { Buffer } from "node:buffer";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";

const OK = 200;
const HEXADECIMAL = 16;
const LAST_CHUNK = "0\r\n\r\n";

/**
 * The body of a streamed answer. It puts each part into the chunk form of RFC
 * 9112, section 7.1 itself, since the server would hand the kernel four
 * buffers for each part where one is enough.
 */
export class EventStreamBody {
  readonly #response: ServerResponse;
  #chunked = false;

  /** @param response The answer, whose header is not sent yet. */
  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /**
   * Prepares the header; it goes out with the first part.
   * @param headers The fields, but for those of the body's form.
   */
  start(headers: OutgoingHttpHeaders): void {
    const response = this.#response;
    // An HTTP/1.0 caller gets the parts bare, up to the connection's end.
    this.#chunked = response.useChunkedEncodingByDefault;
    if (!this.#chunked) {
      response.writeHead(OK, headers);
      return;
    }
    response.writeHead(OK, { ...headers, "transfer-encoding": "chunked" });
    response.chunkedEncoding = false;
  }

  /**
   * Puts a part into the body's form.
   * @param text The part, not empty.
   * @returns What to write.
   */
  part(text: string): string {
    if (!this.#chunked) return text;
    const size = Buffer.byteLength(text).toString(HEXADECIMAL);
    return `${size}\r\n${text}\r\n`;
  }

  /**
   * Writes the last part and ends the answer.
   * @param text The part, not empty.
   */
  end(text: string): void {
    const last = this.#chunked ? LAST_CHUNK : "";
    this.#response.end(this.part(text) + last);
  }
}
