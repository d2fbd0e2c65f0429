import { ByteCollector } from "@foxtailwind/core";
import type { AnswerHead } from "./backend_call.ts";

/**
 * A buffered answer above this size is passed on before its end is known: one
 * request must not take more of a node's 350 MB than a body may.
 */
const LARGE_ANSWER_BYTES = 256 * 1_024;

/** An answer that is buffered until it is decided whether to pass it on. */
export class BufferedAnswer {
  readonly head: AnswerHead;
  readonly #body = new ByteCollector();

  /** @param head The status and headers. */
  constructor(head: AnswerHead) {
    this.head = head;
  }

  /** The body received so far. */
  get body(): Buffer {
    return this.#body.bytes;
  }

  /** The length of the body received so far, in bytes. */
  get length(): number {
    return this.#body.length;
  }

  /** Whether the body is too large to buffer any more of it. */
  get isLarge(): boolean {
    return this.#body.length > LARGE_ANSWER_BYTES;
  }

  /**
   * Appends bytes to the body.
   * @param bytes The next bytes.
   */
  append(bytes: Buffer): void {
    this.#body.append(bytes);
  }
}
