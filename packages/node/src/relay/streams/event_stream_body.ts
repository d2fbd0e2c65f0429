import {
  EventBoundary,
  EventSplitter,
  type StreamEvent,
} from "@foxtailwind/core";

const EMPTY = Buffer.alloc(0);
/** An incomplete event above this size is not held back any longer. */
const MAXIMUM_EVENT_BYTES = 1_024 * 1_024;

/** The body of one answer that is a stream of server-sent events. */
export class EventStreamBody {
  readonly #boundary = new EventBoundary();
  /** Set if incomplete events are held back. */
  readonly #splitter: EventSplitter | undefined;

  /** @param holdsIncompleteEvents Whether events are forwarded only whole. */
  constructor(holdsIncompleteEvents: boolean) {
    this.#splitter = holdsIncompleteEvents ? new EventSplitter() : undefined;
  }

  /** Whether an event has begun. */
  get hasEvent(): boolean {
    return this.#boundary.hasEvent;
  }

  /** Whether all events that have begun are complete. */
  get isBetweenEvents(): boolean {
    return this.#boundary.isBetweenEvents;
  }

  /** Whether events are forwarded only whole. */
  get holdsIncompleteEvents(): boolean {
    return this.#splitter !== undefined;
  }

  /** The bytes held back. */
  get remainder(): Buffer {
    return this.#splitter?.remainder ?? EMPTY;
  }

  /** Whether an event is too large to be held back. */
  get isEventTooLarge(): boolean {
    return this.remainder.length > MAXIMUM_EVENT_BYTES;
  }

  /**
   * Adds bytes that the server has sent.
   * @param bytes The next bytes.
   * @returns What is to be forwarded: complete events, or the bytes as they are.
   */
  push(bytes: Buffer): readonly StreamEvent[] {
    this.#boundary.push(bytes);
    return this.#splitter?.push(bytes) ?? [{ bytes }];
  }
}
