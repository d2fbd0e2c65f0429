import { ByteCollector } from "../shared/mod.ts";
import { EmptyLineFinder } from "./line_ends.ts";

/** A complete event of a stream. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id, if it has one. */
  readonly id?: string;
}

/** A byte order mark may precede the first field; it is read as Latin-1. */
const ID_FIELD = /^(?:\u00ef\u00bb\u00bf)?id: ?(.*)$/m;
/** An empty line may begin in the last bytes before those that follow. */
const LINE_END_BYTES = 3;

/**
 * Splits a stream of server-sent events into complete events, so that an event
 * that a server broke off is never forwarded.
 */
export class EventSplitter {
  readonly #incomplete = new ByteCollector();

  /** The bytes of an incomplete event. */
  get remainder(): Buffer {
    return this.#incomplete.bytes;
  }

  /**
   * Adds bytes of the stream.
   * @param bytes The next bytes.
   * @returns The events that they complete.
   */
  push(bytes: Buffer): readonly StreamEvent[] {
    const known = this.#incomplete.length;
    if (known > 0) this.#incomplete.append(bytes);
    const buffer = known > 0 ? this.#incomplete.bytes : bytes;
    const emptyLines = new EmptyLineFinder(buffer);
    const events: StreamEvent[] = [];
    let start = 0;
    let end = emptyLines.find(Math.max(0, known - LINE_END_BYTES));
    while (end !== undefined) {
      events.push(toEvent(buffer.subarray(start, end)));
      start = end;
      end = emptyLines.find(start);
    }
    if (known > 0 && start === 0) return events;
    this.#incomplete.clear();
    if (start < buffer.length) this.#incomplete.append(buffer.subarray(start));
    return events;
  }

  /** Discards the bytes of an incomplete event. */
  reset(): void {
    this.#incomplete.clear();
  }
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = ID_FIELD.exec(bytes.toString("latin1"))?.[1]?.trim();
  return id === undefined ? { bytes } : { bytes, id };
}
