import {
  chooseYieldingBody,
  type ClientMemory,
  type Duration,
  elapsed,
  type IncompleteBody,
  type Instant,
} from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import { ReadTurns } from "./read_turns.ts";
import {
  type BodyFailure,
  memoryClassOf,
  RequestBody,
} from "./request_body.ts";
import { SegmentPool } from "./segment_pool.ts";

/** The dependencies of {@link RequestBodies}. */
export interface RequestBodiesParts {
  readonly memory: ClientMemory;
  readonly clock: SteadyClock;
  /** The most bytes that a body may have, by the configuration. */
  readonly lengthLimit: () => number;
  /** Called when a body is given up because of a limit. */
  readonly onLimitReached: (limit: "body_memory" | "stalled_body") => void;
}

/** The bodies that all callers send, within the memory of the node. */
export class RequestBodies {
  readonly segments = new SegmentPool();
  readonly readTurns = new ReadTurns();
  readonly #parts: RequestBodiesParts;
  readonly #incomplete = new Set<RequestBody>();

  /** @param parts The dependencies. */
  constructor(parts: RequestBodiesParts) {
    this.#parts = parts;
  }

  /** The most bytes that a body may have. */
  get lengthLimit(): number {
    return this.#parts.lengthLimit();
  }

  /** @returns The present time. */
  now(): Instant {
    return this.#parts.clock.now();
  }

  /**
   * Begins to receive the body of a request, and keeps it until the response
   * has closed.
   * @param message The request.
   * @param response The response.
   * @returns The body.
   */
  receive(message: IncomingMessage, response: ServerResponse): RequestBody {
    const body = new RequestBody(message, this);
    response.once("close", () => {
      body.fail("broken");
      body.release();
    });
    return body;
  }

  /**
   * Gives up the bodies that have stalled for too long.
   * @param idleTime How long they may.
   */
  expireIdle(idleTime: Duration): void {
    const idle = this.#findIdle(idleTime);
    if (idle.length === 0) return;
    afterPendingInput(() => {
      for (const body of this.#findIdle(idleTime)) body.fail("stalled");
    });
  }

  /**
   * Closes the connection of the incomplete body that got no bytes for longest.
   * @param mayClose Whether a connection may be closed.
   * @returns Whether one was closed.
   */
  closeOldest(mayClose: (socket: Socket) => boolean): boolean {
    let oldest: RequestBody | undefined;
    for (const body of this.#incomplete) {
      const isOlder = oldest === undefined ||
        body.progressedAt < oldest.progressedAt;
      if (isOlder && mayClose(body.socket)) oldest = body;
    }
    if (oldest === undefined) return false;
    oldest.fail("broken");
    oldest.socket.destroy();
    return true;
  }

  /** Adds a body that is not complete yet. */
  add(body: RequestBody): void {
    this.#incomplete.add(body);
  }

  /**
   * Removes a body that is complete or given up.
   * @param body The body.
   * @param failure Why it was given up, if it was.
   */
  remove(body: RequestBody, failure: BodyFailure | undefined): void {
    this.#incomplete.delete(body);
    if (failure === "overloaded") this.#parts.onLimitReached("body_memory");
    else if (failure === "stalled") this.#parts.onLimitReached("stalled_body");
  }

  /**
   * Takes memory for a body; others may have to give way to it.
   * @param bytes How much.
   * @param asker The body, or what else needs memory.
   * @returns Whether it was taken.
   */
  tryTake(bytes: number, asker: IncompleteBody): boolean {
    const memoryClass = memoryClassOf(asker.usedBytes + bytes);
    while (!this.#parts.memory.tryTake(bytes, memoryClass)) {
      const yielding = chooseYieldingBody(this.now(), this.#incomplete, asker);
      if (yielding === undefined) return false;
      yielding.fail("overloaded");
    }
    return true;
  }

  /**
   * Counts memory that is in use already.
   * @param bytes How much.
   */
  record(bytes: number): void {
    this.#parts.memory.record(bytes);
  }

  /**
   * Returns memory.
   * @param bytes How much.
   */
  release(bytes: number): void {
    this.#parts.memory.release(bytes);
  }

  #findIdle(idleTime: Duration): readonly RequestBody[] {
    const now = this.now();
    return [...this.#incomplete].filter(({ progressedAt }) =>
      elapsed(progressedAt, now) >= idleTime
    );
  }
}
