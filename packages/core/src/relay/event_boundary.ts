import { isLineEnd } from "./line_ends.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** How many last bytes tell whether the last line is empty. */
const EMPTY_LINE_BYTES = 4;

/**
 * Tracks whether a stream of server-sent events is between two events. A stream
 * that ends inside an event was broken off, however its answer ends.
 */
export class EventBoundary {
  /** The last bytes of the stream. */
  #tail: Buffer = Buffer.alloc(0);
  #hasEvent = false;

  /** Whether an event has begun. */
  get hasEvent(): boolean {
    return this.#hasEvent;
  }

  /** Whether all events that have begun are complete. */
  get isBetweenEvents(): boolean {
    return !this.#hasEvent || endsWithEmptyLine(this.#tail);
  }

  /**
   * Adds bytes of the stream.
   * @param bytes The next bytes.
   */
  push(bytes: Buffer): void {
    this.#hasEvent ||= bytes.some((byte) => !isLineEnd(byte));
    const isShort = bytes.length < EMPTY_LINE_BYTES;
    const end = isShort ? Buffer.concat([this.#tail, bytes]) : bytes;
    // A copy, since a slice would keep the whole chunk in memory.
    this.#tail = Buffer.from(end.subarray(-EMPTY_LINE_BYTES));
  }
}

function endsWithEmptyLine(bytes: Buffer): boolean {
  const [third, second, last] = [bytes.at(-3), bytes.at(-2), bytes.at(-1)];
  if (last === CARRIAGE_RETURN) {
    if (second === CARRIAGE_RETURN) return true;
    // The first byte of a pair, which ends another empty line at most.
    return second === LINE_FEED && endsWithEmptyLine(bytes.subarray(0, -1));
  }
  if (last !== LINE_FEED) return false;
  return isLineEnd(second === CARRIAGE_RETURN ? third : second);
}
