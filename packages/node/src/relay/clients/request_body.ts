import {
  type IncompleteBody,
  type Instant,
  SMALL_BODY_BYTES,
} from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { ChunkMeter } from "./read_turns.ts";
import { SEGMENT_BYTES } from "./segment_pool.ts";
import type { RequestBodies } from "./request_bodies.ts";

/** The result of receiving a request's body. */
export type BodyResult =
  | { readonly kind: "read"; readonly bytes: Buffer | undefined }
  /** Why it is not received any further. */
  | { readonly kind: BodyFailure };

/** Why a body can't be used. */
export type BodyFailure =
  | "too_large"
  /** The caller closed the connection. */
  | "broken"
  /** No bytes arrived for too long. */
  | "stalled"
  /** It was incomplete at the request's deadline. */
  | "late"
  /** The memory for callers is used up. */
  | "overloaded";

/** A body that is received from a caller, and kept until its request ends. */
export class RequestBody implements IncompleteBody {
  /** Resolves once the body is complete or given up. */
  readonly result: Promise<BodyResult>;
  readonly #message: IncomingMessage;
  readonly #bodies: RequestBodies;
  readonly #chunkMeter = new ChunkMeter();
  readonly #announcedLength: number;
  #resolve: (result: BodyResult) => void = () => undefined;
  #isSettled = false;
  #segments: Buffer[] = [];
  /** The body, if it arrived in one piece. */
  #piece: Buffer | undefined;
  #length = 0;
  #usedBytes = 0;
  #progressedAt: Instant;
  #deadlineTimer: NodeJS.Timeout | undefined;

  /**
   * @param message The request; its body must be unread.
   * @param bodies The bodies of all callers.
   */
  constructor(message: IncomingMessage, bodies: RequestBodies) {
    this.#message = message;
    this.#bodies = bodies;
    this.#progressedAt = bodies.now();
    this.#announcedLength = Number(message.headers["content-length"] ?? 0);
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#receive();
  }

  /** The connection that it arrives on. */
  get socket(): Socket {
    return this.#message.socket;
  }

  /** The memory that it uses, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** When its last bytes arrived. */
  get progressedAt(): Instant {
    return this.#progressedAt;
  }

  /**
   * Gives the body up unless it is complete within a time.
   * @param remaining The time, in milliseconds.
   */
  expireAfter(remaining: number): void {
    if (this.#isSettled) return;
    this.#deadlineTimer = setTimeout(
      afterPendingInput,
      Math.max(0, remaining),
      () => {
        this.fail("late");
      },
    );
  }

  /**
   * Gives the body up; what follows of it is dropped.
   * @param failure The reason.
   */
  fail(failure: BodyFailure): void {
    if (this.#isSettled) return;
    this.#releaseSegments();
    this.#piece = undefined;
    this.release();
    this.#settle({ kind: failure });
  }

  /** Returns the memory, once the request has ended. */
  release(): void {
    this.#bodies.release(this.#usedBytes);
    this.#usedBytes = 0;
  }

  #receive(): void {
    const { headers } = this.#message;
    const hasBody = this.#announcedLength > 0 ||
      headers["transfer-encoding"] !== undefined;
    if (!hasBody) {
      this.#message.resume();
      const bytes = headers["content-length"] === undefined
        ? undefined
        : Buffer.alloc(0);
      this.#settle({ kind: "read", bytes });
      return;
    }
    if (this.#announcedLength > this.#bodies.lengthLimit) {
      this.#settle({ kind: "too_large" });
    } else this.#bodies.add(this);
    this.#message.on("data", (chunk: Buffer) => {
      if (!this.#isSettled) this.#append(chunk);
      if (this.#chunkMeter.record(chunk.length)) {
        this.#bodies.readTurns.wait(this.#message);
      }
    });
    this.#message.once("end", () => {
      this.#complete();
    });
    this.#message.once("close", () => {
      this.fail("broken");
    });
    this.#message.once("error", () => {
      this.fail("broken");
    });
  }

  #append(chunk: Buffer): void {
    this.#progressedAt = this.#bodies.now();
    const length = this.#length + chunk.length;
    if (length > this.#bodies.lengthLimit) {
      this.fail("too_large");
    } else if (chunk.length === this.#announcedLength) {
      if (!this.#tryTake(chunk.length)) this.fail("overloaded");
      else {
        this.#piece = chunk;
        this.#length = length;
      }
    } else if (this.#tryTakeSegments(length)) {
      this.#copy(chunk);
      this.#length = length;
    } else this.fail("overloaded");
  }

  #tryTakeSegments(length: number): boolean {
    while (this.#segments.length * SEGMENT_BYTES < length) {
      if (!this.#tryTake(SEGMENT_BYTES)) return false;
      this.#segments.push(this.#bodies.segments.take());
    }
    return true;
  }

  #tryTake(bytes: number): boolean {
    const isTaken = this.#bodies.tryTake(bytes, this);
    if (isTaken) this.#usedBytes += bytes;
    return isTaken;
  }

  #copy(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const position = this.#length + copied;
      const segment = this.#segments[Math.floor(position / SEGMENT_BYTES)];
      if (segment === undefined) break;
      copied += chunk.copy(segment, position % SEGMENT_BYTES, copied);
    }
  }

  #complete(): void {
    if (this.#isSettled) return;
    const bytes = this.#piece ?? Buffer.concat(this.#segments, this.#length);
    this.#releaseSegments();
    this.#bodies.release(this.#usedBytes);
    this.#bodies.record(bytes.length);
    this.#usedBytes = bytes.length;
    this.#settle({ kind: "read", bytes });
  }

  #releaseSegments(): void {
    this.#bodies.segments.release(this.#segments);
    this.#segments = [];
  }

  #settle(result: BodyResult): void {
    this.#isSettled = true;
    clearTimeout(this.#deadlineTimer);
    this.#bodies.remove(
      this,
      result.kind === "read" ? undefined : result.kind,
    );
    this.#resolve(result);
  }
}

/**
 * Returns which memory a body may use.
 * @param usedBytes The memory that it would use.
 * @returns The class.
 */
export function memoryClassOf(usedBytes: number): "small" | "large" {
  return usedBytes > SMALL_BODY_BYTES ? "large" : "small";
}
