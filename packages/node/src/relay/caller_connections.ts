import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Limits of callers' connections. */
export interface ConnectionLimits {
  /** The most open connections. */
  readonly connections: number;
  /** The most requests in progress on one connection. */
  readonly requestsAhead: number;
}

/** What callers' connections need from the rest of the node. */
export interface CallerConnectionsParts {
  readonly limits: ConnectionLimits;
  /**
   * Closes one connection that is not idle, if its request isn't complete.
   * @returns Whether one was closed.
   */
  readonly closeIncomplete: () => boolean;
  /** Called when a connection is opened or closed. */
  readonly onCountChanged: (change: 1 | -1) => void;
  /** Called when a connection is closed because of a limit. */
  readonly onLimitReached: (limit: "connections" | "requests_ahead") => void;
}

/** Whether a request is served, and after what. */
export type RequestTurn =
  | { readonly kind: "closed" }
  | {
    readonly kind: "served";
    /** Resolves once the earlier requests on the connection have ended. */
    readonly begin: Promise<void> | undefined;
  };

/**
 * Tracks callers' connections and the requests in progress on them. A request
 * is in progress until the last byte of its answer is handed to the connection.
 * If the caller reads slowly, that may be long after the answer was ended.
 */
export class CallerConnections {
  readonly #parts: CallerConnectionsParts;
  /**
   * The responses in progress by connection, the oldest first. The connection
   * that has been idle for longest comes first.
   */
  readonly #responses = new Map<Socket, Set<ServerResponse>>();
  #requestsInProgress = 0;

  /** @param parts The limits and the dependencies. */
  constructor(parts: CallerConnectionsParts) {
    this.#parts = parts;
  }

  /** The number of requests in progress. */
  get requestsInProgress(): number {
    return this.#requestsInProgress;
  }

  /** The number of open connections. */
  get count(): number {
    return this.#responses.size;
  }

  /**
   * Tracks a new connection until it closes. If there are too many, the one that
   * has been idle for longest is closed, else one whose request is incomplete,
   * else the new one.
   * @param socket The connection.
   */
  trackConnection(socket: Socket): void {
    const isFull = this.count >= this.#parts.limits.connections;
    if (isFull) this.#parts.onLimitReached("connections");
    if (isFull && !this.#closeLongestIdle() && !this.#parts.closeIncomplete()) {
      socket.destroy();
      return;
    }
    this.#responses.set(socket, new Set());
    this.#parts.onCountChanged(1);
    socket.once("close", () => {
      this.#forget(socket);
    });
  }

  /**
   * Tracks a request until its response closes. Requests that are sent ahead wait
   * for the earlier ones on their connection; one with too many is closed.
   * @param socket Its connection.
   * @param response Its response.
   * @returns Whether the request is served, and after what.
   */
  trackRequest(socket: Socket, response: ServerResponse): RequestTurn {
    if (socket.destroyed) return { kind: "closed" };
    if (this.requestsOn(socket) >= this.#parts.limits.requestsAhead) {
      this.#parts.onLimitReached("requests_ahead");
      socket.destroy();
      return { kind: "closed" };
    }
    const earlier = [...this.#responses.get(socket) ?? []].at(-1);
    this.#add(socket, response);
    response.once("close", () => {
      this.#remove(socket, response);
    });
    const begin = earlier && new Promise<void>((resolve) => {
      earlier.once("close", resolve);
    });
    return { kind: "served", begin };
  }

  /**
   * Counts the requests in progress on a connection.
   * @param socket The connection.
   * @returns Their number.
   */
  requestsOn(socket: Socket): number {
    return this.#responses.get(socket)?.size ?? 0;
  }

  /** Closes the connections without requests in progress. */
  closeIdle(): void {
    for (const [socket, { size }] of this.#responses) {
      if (size === 0) socket.destroy();
    }
  }

  #closeLongestIdle(): boolean {
    for (const [socket, { size }] of this.#responses) {
      if (size > 0) continue;
      this.#forget(socket);
      socket.destroy();
      return true;
    }
    return false;
  }

  #forget(socket: Socket): void {
    const responses = this.#responses.get(socket);
    if (responses === undefined) return;
    this.#responses.delete(socket);
    this.#parts.onCountChanged(-1);
    for (const response of responses) {
      this.#requestsInProgress -= 1;
      closeUnassigned(response);
    }
  }

  #add(socket: Socket, response: ServerResponse): void {
    const responses = this.#responses.get(socket);
    if (responses === undefined) return;
    this.#requestsInProgress += 1;
    responses.add(response);
    this.#moveToEnd(socket, responses);
  }

  #remove(socket: Socket, response: ServerResponse): void {
    const responses = this.#responses.get(socket);
    if (responses?.delete(response) !== true) return;
    this.#requestsInProgress -= 1;
    this.#moveToEnd(socket, responses);
  }

  /** The connections that were used last come last. */
  #moveToEnd(socket: Socket, responses: Set<ServerResponse>): void {
    this.#responses.delete(socket);
    this.#responses.set(socket, responses);
  }
}

/**
 * Closes a response to a pipelined request whose connection has been closed.
 * `node:http` emits `close` only on the response attached to the connection.
 */
function closeUnassigned(response: ServerResponse): void {
  if (response.socket !== null) return;
  response.destroy();
  response.emit("close");
}
