const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Checks whether a byte ends a line of a stream of events, alone or with the
 * next one.
 * @param byte The byte, if there is one.
 * @returns Whether it is a line feed or a carriage return.
 */
export function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/** Finds empty lines, after which events end, in bytes of a stream. */
export class EmptyLineFinder {
  readonly #bytes: Buffer;
  readonly #lineFeeds: ByteFinder;
  readonly #carriageReturns: ByteFinder;

  /** @param bytes The bytes. */
  constructor(bytes: Buffer) {
    this.#bytes = bytes;
    this.#lineFeeds = new ByteFinder(bytes, LINE_FEED);
    this.#carriageReturns = new ByteFinder(bytes, CARRIAGE_RETURN);
  }

  /**
   * Finds the next empty line. Lines end with a line feed, a carriage return, or
   * both.
   * @param start Where to begin; must not grow smaller from call to call.
   * @returns The position after the empty line, or `undefined` without one.
   */
  find(start: number): number | undefined {
    let position = start;
    while (position < this.#bytes.length) {
      const lineEnd = Math.min(
        this.#lineFeeds.find(position),
        this.#carriageReturns.find(position),
      );
      position = this.#afterLineEnd(lineEnd);
      if (!isLineEnd(this.#bytes[position])) continue;
      return this.#isHalfPair(position)
        ? undefined
        : this.#afterLineEnd(position);
    }
    return undefined;
  }

  /**
   * Whether the last byte is the first one of a pair: a line before it ended with
   * a line feed.
   */
  #isHalfPair(position: number): boolean {
    return position === this.#bytes.length - 1 &&
      this.#bytes[position] === CARRIAGE_RETURN &&
      this.#bytes[position - 1] === LINE_FEED;
  }

  #afterLineEnd(position: number): number {
    const isPair = this.#bytes[position] === CARRIAGE_RETURN &&
      this.#bytes[position + 1] === LINE_FEED;
    return position + (isPair ? 2 : 1);
  }
}

/** Finds the occurrences of one byte, and searches no range twice. */
class ByteFinder {
  readonly #bytes: Buffer;
  readonly #byte: number;
  #next = -1;

  constructor(bytes: Buffer, byte: number) {
    this.#bytes = bytes;
    this.#byte = byte;
  }

  /** Returns the first position from `start`, or infinity without one. */
  find(start: number): number {
    if (this.#next < start) {
      const found = this.#bytes.indexOf(this.#byte, start);
      this.#next = found < 0 ? Infinity : found;
    }
    return this.#next;
  }
}
