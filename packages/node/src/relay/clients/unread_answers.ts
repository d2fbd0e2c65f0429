import type { ClientMemory, Duration } from "@foxtailwind/core";
import { resetConnection } from "@foxtailwind/edges";
import type { ServerResponse } from "node:http";

/** The dependencies of {@link UnreadAnswers}. */
export interface UnreadAnswersParts {
  readonly memory: ClientMemory;
  /** The most answers that wait for their callers; each occupies a server. */
  readonly limit: number;
  /** How long a caller may read nothing of an answer. */
  readonly idleTime: () => Duration | undefined;
  /** Called when a connection is closed to free memory. */
  readonly onLimitReached: () => void;
}

/** Counts what was written to callers that don't read as fast. */
export class UnreadAnswers {
  readonly #parts: UnreadAnswersParts;
  /** The bytes of each; the answer that waits for longest comes first. */
  readonly #bytesByResponse = new Map<ServerResponse, number>();

  /** @param parts The dependencies. */
  constructor(parts: UnreadAnswersParts) {
    this.#parts = parts;
  }

  /**
   * Counts an answer until its caller has read what was written, and closes its
   * connection if the caller reads nothing for too long. If too many answers
   * wait, or callers use too much memory, the connections of those that wait for
   * longest are closed.
   * @param response The answer, after a write that its caller must catch up with.
   */
  record(response: ServerResponse): void {
    this.#count(response);
    while (this.#isLimitReached) {
      const [longest] = this.#bytesByResponse.keys();
      if (longest === undefined) return;
      this.#forget(longest);
      this.#parts.onLimitReached();
      resetConnection(longest.req.socket);
    }
  }

  get #isLimitReached(): boolean {
    const { limit, memory } = this.#parts;
    return this.#bytesByResponse.size > limit || memory.isExceeded;
  }

  #count(response: ServerResponse): void {
    const known = this.#bytesByResponse.get(response);
    const bytes = response.writableLength;
    this.#parts.memory.record(bytes - (known ?? 0));
    this.#bytesByResponse.set(response, bytes);
    if (known !== undefined) return;
    const { socket } = response.req;
    socket.setTimeout(this.#parts.idleTime() ?? 0);
    const onDrain = () => {
      socket.setTimeout(0);
      response.off("close", onClose);
      this.#forget(response);
    };
    const onClose = () => {
      response.off("drain", onDrain);
      this.#forget(response);
    };
    response.once("drain", onDrain);
    response.once("close", onClose);
  }

  #forget(response: ServerResponse): void {
    const bytes = this.#bytesByResponse.get(response);
    if (bytes === undefined) return;
    this.#bytesByResponse.delete(response);
    this.#parts.memory.release(bytes);
  }
}
