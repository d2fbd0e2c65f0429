/** A complete event of a stream. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id, if it has one. */
  readonly id?: string;
}

const NEWLINE = 0x0a;
const ID_FIELD = /^id: ?(.*)$/m;

/**
 * Splits a stream of server-sent events into complete events, so that an event
 * that a server broke off is never forwarded.
 */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);

  /** The bytes of an incomplete event. */
  get remainder(): Buffer {
    return this.#remainder;
  }

  /**
   * Adds bytes of the stream.
   * @param bytes The next bytes.
   * @returns The events that they complete.
   */
  push(bytes: Buffer): readonly StreamEvent[] {
    const buffer = this.#remainder.length === 0
      ? bytes
      : Buffer.concat([this.#remainder, bytes]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (
      let end = eventEnd(buffer, start);
      end > 0;
      end = eventEnd(buffer, start)
    ) {
      events.push(toEvent(buffer.subarray(start, end)));
      start = end;
    }
    this.#remainder = buffer.subarray(start);
    return events;
  }

  /** Discards the bytes of an incomplete event. */
  reset(): void {
    this.#remainder = Buffer.alloc(0);
  }
}

/** Finds the end of the event that begins at `start`: after an empty line. */
function eventEnd(buffer: Buffer, start: number): number {
  for (
    let newline = buffer.indexOf(NEWLINE, start);
    newline >= 0;
    newline = buffer.indexOf(NEWLINE, newline + 1)
  ) {
    if (buffer[newline + 1] === NEWLINE) return newline + 2;
    if (buffer[newline + 1] === 0x0d && buffer[newline + 2] === NEWLINE) {
      return newline + 3;
    }
  }
  return -1;
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = ID_FIELD.exec(bytes.toString("latin1"))?.[1]?.trim();
  return id === undefined ? { bytes } : { bytes, id };
}
