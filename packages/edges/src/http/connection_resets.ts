import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/** What undici reports when it writes a request to a connection. */
interface RequestWritten {
  readonly request: object;
  readonly socket: Socket;
}

/** What undici reports when the head of a response has arrived. */
interface ResponseBegun {
  readonly request: object;
}

/** The connection of each request whose response has not begun. */
const sockets = new WeakMap<object, Socket>();

/** Connections with a request that the peer may not have received. */
const unanswered = new WeakSet<Socket>();

let isSubscribed = false;

/**
 * Wraps a connector so that a connection which this side closes before the
 * response to its request has begun is reset. A close still delivers what was
 * written, however long a partition holds it up; the peer would then run a
 * request that was given up long ago. Once the response has begun, the request
 * has arrived, and an orderly close informs the peer more reliably, since a
 * lost reset is not retransmitted.
 * @param connect The connector to wrap.
 * @returns A connector whose connections are reset if a request is given up.
 */
export function resetUnanswered(
  connect: buildConnector.connector,
): buildConnector.connector {
  subscribeOnce();
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) resetOnDestroy(socket);
      callback(...result);
    });
  };
}

function resetOnDestroy(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (reason?: Error) => {
    const isGivenUp = unanswered.delete(socket) && !isSystemError(reason);
    // After `end()`, Node refuses a reset and never closes the connection.
    if (isGivenUp && socket.writable) socket.resetAndDestroy();
    // Without this call, the reset would wait until all bytes are written.
    return destroy(reason);
  };
}

/** Whether the connection itself has failed, so that nothing is held up. */
function isSystemError(reason: NodeJS.ErrnoException | undefined): boolean {
  return reason?.syscall !== undefined;
}

function subscribeOnce(): void {
  if (isSubscribed) return;
  isSubscribed = true;
  subscribe("undici:client:sendHeaders", (message) => {
    const { request, socket } = message as RequestWritten;
    sockets.set(request, socket);
    unanswered.add(socket);
  });
  subscribe("undici:request:headers", (message) => {
    const socket = sockets.get((message as ResponseBegun).request);
    if (socket !== undefined) unanswered.delete(socket);
  });
}
