import { EmptyLineFinder } from "./line_ends.ts";

/** A complete event of a stream. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id, if it has one. */
  readonly id?: string;
}

/** A byte order mark may precede the first field; it is read as Latin-1. */
const ID_FIELD = /^(?:\u00ef\u00bb\u00bf)?id: ?(.*)$/m;

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
    const emptyLines = new EmptyLineFinder(buffer);
    let start = 0;
    for (
      let end = emptyLines.find(start);
      end !== undefined;
      end = emptyLines.find(start)
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

function toEvent(bytes: Buffer): StreamEvent {
  const id = ID_FIELD.exec(bytes.toString("latin1"))?.[1]?.trim();
  return id === undefined ? { bytes } : { bytes, id };
}
