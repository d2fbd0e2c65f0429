/** One whole event of a stream. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id, where it carries one. */
  readonly id?: string;
}

const NEWLINE = 0x0a;
const ID_FIELD = /^id: ?(.*)$/m;

/**
 * Cuts a stream of server-sent events into whole events, so that one that a
 * server broke off is never passed on.
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** The bytes of an event that is not whole yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /**
   * Takes bytes of the stream.
   * @param bytes The next bytes.
   * @returns The events that they complete.
   */
  push(bytes: Buffer): readonly StreamEvent[] {
    const text = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (
      let end = eventEnd(text, start);
      end > 0;
      end = eventEnd(text, start)
    ) {
      events.push(toEvent(text.subarray(start, end)));
      start = end;
    }
    this.#rest = text.subarray(start);
    return events;
  }

  /** Drops the bytes of an unfinished event. */
  reset(): void {
    this.#rest = Buffer.alloc(0);
  }
}

/** Finds the end of the event that begins at `start`: after an empty line. */
function eventEnd(text: Buffer, start: number): number {
  for (
    let newline = text.indexOf(NEWLINE, start);
    newline >= 0;
    newline = text.indexOf(NEWLINE, newline + 1)
  ) {
    if (text[newline + 1] === NEWLINE) return newline + 2;
    if (text[newline + 1] === 0x0d && text[newline + 2] === NEWLINE) {
      return newline + 3;
    }
  }
  return -1;
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = ID_FIELD.exec(bytes.toString("latin1"))?.[1]?.trim();
  return id === undefined ? { bytes } : { bytes, id };
}
