import type { IncomingMessage } from "node:http";

/** After this many chunks, a connection with small chunks waits for its turn. */
const CHUNKS_PER_TURN = 256;
/** Chunks that are shorter than this on average count as small, in bytes. */
const SMALL_CHUNK_BYTES = 1_024;

/**
 * Lets the connections that send bodies in small chunks take turns: a chunk costs
 * the same processor time whatever its length, and many such connections would
 * keep the event loop from all other work.
 */
export class ReadTurns {
  readonly #waiting = new Set<IncomingMessage>();

  /**
   * Makes a connection wait until the others have had their turns.
   * @param message The request whose body arrives on it.
   */
  wait(message: IncomingMessage): void {
    if (this.#waiting.has(message)) return;
    this.#waiting.add(message);
    if (this.#waiting.size === 1) this.#resumeNextSoon();
    // Only the connection is paused: a paused message would keep each chunk that
    // has been read as an object of its own. Left to itself, the message would
    // resume its connection after each chunk.
    message._read = () => undefined;
    message.socket.pause();
  }

  #resumeNextSoon(): void {
    setImmediate(() => {
      const [message] = this.#waiting;
      if (message === undefined) return;
      this.#waiting.delete(message);
      Reflect.deleteProperty(message, "_read");
      message.socket.resume();
      if (this.#waiting.size > 0) this.#resumeNextSoon();
    });
  }
}

/** Counts the chunks of one body. */
export class ChunkMeter {
  #chunks = 0;
  #bytes = 0;

  /**
   * Counts a chunk.
   * @param bytes Its length.
   * @returns Whether the connection should wait for its turn.
   */
  record(bytes: number): boolean {
    this.#chunks += 1;
    this.#bytes += bytes;
    if (this.#chunks < CHUNKS_PER_TURN) return false;
    const isSmall = this.#bytes < this.#chunks * SMALL_CHUNK_BYTES;
    this.#chunks = 0;
    this.#bytes = 0;
    return isSmall;
  }
}
