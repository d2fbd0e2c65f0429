import type { AnswerHead } from "./backend_call.ts";

/**
 * A kept answer above this size is passed on before its end is known: a
 * request must not hold more of a node's 350 MB than a body may have.
 */
const LARGE_BYTES = 256 * 1_024;

/** An answer that is kept until it is known what becomes of it. */
export class KeptAnswer {
  readonly head: AnswerHead;
  readonly #chunks: Buffer[] = [];
  #length = 0;

  /** @param head Its beginning. */
  constructor(head: AnswerHead) {
    this.head = head;
  }

  /** What has come of its body. */
  get body(): Buffer {
    return Buffer.concat(this.#chunks);
  }

  /** Whether so much of its body has come that it should not grow further. */
  get isLarge(): boolean {
    return this.#length > LARGE_BYTES;
  }

  /**
   * Takes bytes of its body.
   * @param bytes The next bytes.
   */
  add(bytes: Buffer): void {
    this.#chunks.push(Buffer.from(bytes));
    this.#length += bytes.length;
  }
}
