import {
  type CallerLimits,
  type ClientLimits,
  ClientMemory,
  CONNECTION_BYTES,
  elapsed,
  type Instant,
  milliseconds,
  requestBytes,
  SMALL_BODY_BYTES,
} from "@foxtailwind/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { ComponentLogger } from "../../logging/component_logger.ts";
import { CallerConnections } from "../caller_connections.ts";
import type { Knowledge } from "../knowledge.ts";
import { RequestBodies } from "./request_bodies.ts";
import { UnreadAnswers } from "./unread_answers.ts";

/** Connections to the listeners for operations, in proportion to callers'. */
const OPERATIONS_SHARE = 1 / 4;
/** The interval between two log lines about the same limit. */
const LOG_INTERVAL = milliseconds(1_000);

/** A limit that callers have reached. */
export type ClientLimit =
  | "body_memory"
  | "connections"
  | "header_memory"
  | "operations_connections"
  | "requests_ahead"
  | "stalled_body"
  | "unread_answer";

/** The limits of all callers of a node. */
export interface ClientResourceLimits extends ClientLimits {
  /** The most requests in progress on one connection. */
  readonly requestsAhead: number;
  /** The most answers that wait until their callers read them. */
  readonly unreadAnswers: number;
}

/** The dependencies of {@link ClientResources}. */
export interface ClientResourcesParts {
  readonly limits: ClientResourceLimits;
  /** Has the limits of the configuration. */
  readonly knowledge: Pick<Knowledge, "routes">;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Counts a limit that callers have reached. */
  readonly recordLimit: (limit: ClientLimit) => void;
}

/** All that a node keeps for its callers, counted in one place. */
export class ClientResources {
  readonly connections: CallerConnections;
  readonly bodies: RequestBodies;
  readonly unreadAnswers: UnreadAnswers;
  readonly #parts: ClientResourcesParts;
  readonly #memory: ClientMemory;
  /** When each limit was logged last. */
  readonly #loggedAt = new Map<ClientLimit, Instant>();

  /** @param parts The limits and the dependencies. */
  constructor(parts: ClientResourcesParts) {
    this.#parts = parts;
    const { limits, clock } = parts;
    this.#memory = new ClientMemory(limits);
    this.bodies = new RequestBodies({
      memory: this.#memory,
      clock,
      lengthLimit: () =>
        this.#configuredLimits?.bodyBytes ?? Number.POSITIVE_INFINITY,
      onLimitReached: (limit) => {
        this.recordLimit(limit);
      },
    });
    this.unreadAnswers = new UnreadAnswers({
      memory: this.#memory,
      limit: limits.unreadAnswers,
      idleTime: () => this.#configuredLimits?.idleTime,
      onLimitReached: () => {
        this.recordLimit("unread_answer");
      },
    });
    this.connections = new CallerConnections({
      limits,
      closeIncomplete: () =>
        this.bodies.closeOldest((socket) =>
          this.connections.requestsOn(socket) === 1
        ),
      onCountChanged: (change) => {
        this.#memory.record(change * CONNECTION_BYTES);
      },
      onLimitReached: (limit) => {
        this.recordLimit(limit);
      },
    });
  }

  /** The most connections to the listeners for operations. */
  get operationsConnections(): number {
    const { connections } = this.#parts.limits;
    return Math.max(1, Math.floor(connections * OPERATIONS_SHARE));
  }

  /** The memory that is counted for callers, in bytes. */
  get usedBytes(): number {
    return this.#memory.usedBytes;
  }

  /**
   * Takes the memory that a request needs besides its body, until its response
   * closes. Bodies of others may have to give way, but not to a large head.
   * @param message The request.
   * @param response The response.
   * @returns Whether it was available.
   */
  tryTakeRequest(message: IncomingMessage, response: ServerResponse): boolean {
    const bytes = requestBytes(countFields(message));
    const asker = { usedBytes: 0, progressedAt: this.#parts.clock.now() };
    const isTaken = isLargeHead(message)
      ? this.#memory.tryTake(bytes, "large")
      : this.bodies.tryTake(bytes, asker);
    if (!isTaken) return false;
    response.once("close", () => {
      this.#memory.release(bytes);
    });
    return true;
  }

  /** Gives up the bodies that have stalled for too long. */
  expireIdle(): void {
    const limits = this.#configuredLimits;
    if (limits !== undefined) this.bodies.expireIdle(limits.idleTime);
  }

  /**
   * Counts and logs a limit that callers have reached.
   * @param limit The limit.
   */
  recordLimit(limit: ClientLimit): void {
    const { clock, logger, recordLimit } = this.#parts;
    recordLimit(limit);
    const now = clock.now();
    const loggedAt = this.#loggedAt.get(limit);
    if (loggedAt !== undefined && elapsed(loggedAt, now) < LOG_INTERVAL) return;
    this.#loggedAt.set(limit, now);
    logger.warn("Callers have reached a limit of this node.", {
      limit,
      connections: this.connections.count,
      bytes: this.usedBytes,
    });
  }

  get #configuredLimits(): CallerLimits | undefined {
    return this.#parts.knowledge.routes?.configuration.limits;
  }
}

/**
 * Checks whether a request's head needs as much memory as a large body.
 * @param message The request.
 * @returns Whether it does.
 */
export function isLargeHead(message: IncomingMessage): boolean {
  return requestBytes(countFields(message)) > SMALL_BODY_BYTES;
}

function countFields({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.length / 2;
}
