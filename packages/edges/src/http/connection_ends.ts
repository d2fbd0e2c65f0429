import type { Socket } from "node:net";
import process from "node:process";
import type { buildConnector } from "undici";

/** Set while the listeners of a connection's end or error are running. */
let currentEndFailure: Promise<boolean> | undefined;

/** The connection whose input is being read at this moment. */
let lastReadSocket: Socket | undefined;

/** Connections that delivered more responses than were requested. */
const socketsWithExtraResponse = new WeakSet<Socket>();

/** undici's error code for a response on a connection without a request. */
const UNEXPECTED_RESPONSE_CODE = "UND_ERR_SOCKET";

const EMPTY_BUFFER = Buffer.alloc(0);

/**
 * Tells whether the connection that is ending at this moment failed. undici
 * takes a reset for the end of a response without a length, and libuv even
 * reports a reset as an orderly end if it arrives together with the last bytes.
 * A handler that is notified of such an end must check here for a failure.
 * @returns Whether the connection failed, or `undefined` if none is ending.
 */
export function hasEndingConnectionFailed(): Promise<boolean> | undefined {
  return currentEndFailure;
}

/**
 * Tells whether another response follows the one that is ending at this moment
 * on the same connection. Either of them may then be a late duplicate of an
 * earlier response, and it is not known which one answers the request.
 * @returns Resolves before the connection is used again.
 */
export function hasExtraResponse(): Promise<boolean> {
  const socket = lastReadSocket;
  return new Promise((resolve) => {
    setImmediate(() => {
      resolve(socket !== undefined && socketsWithExtraResponse.has(socket));
    });
  });
}

/**
 * Wraps a connector to record how its connections end. The listeners run before
 * undici's own.
 * @param connect The connector to wrap.
 * @returns A connector whose connections are tracked.
 */
export function trackConnectionEnds(
  connect: buildConnector.connector,
): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        socket.prependListener("error", (failure: NodeJS.ErrnoException) => {
          if (failure.code === UNEXPECTED_RESPONSE_CODE) {
            socketsWithExtraResponse.add(socket);
          }
          setCurrentEndFailure(Promise.resolve(true));
        });
        socket.prependListener("readable", () => {
          lastReadSocket = socket;
        });
        socket.prependListener("end", () => {
          setCurrentEndFailure(rejectsWrites(socket));
        });
      }
      callback(...result);
    });
  };
}

/**
 * Closes a connection at once, by a reset if possible. After `end()`, while the
 * last bytes are being written, Node refuses the reset and never closes the
 * connection: its descriptor leaks, no `close` event is emitted, and the
 * process cannot exit.
 * @param socket The connection.
 */
export function resetConnection(socket: Socket): void {
  const isFinishing = socket.writableEnded && !socket.writableFinished;
  if (isFinishing) socket.destroy();
  else socket.resetAndDestroy();
}

/**
 * Keeps the value until the next tick: all listeners of one event run
 * synchronously, before it.
 */
function setCurrentEndFailure(hasFailed: Promise<boolean>): void {
  currentEndFailure = hasFailed;
  process.nextTick(() => {
    if (currentEndFailure === hasFailed) currentEndFailure = undefined;
  });
}

/**
 * A connection that its peer closed in order still accepts writes, but a reset
 * connection does not. The write is empty, so that the peer receives nothing.
 */
function rejectsWrites(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(EMPTY_BUFFER, (error) => {
      resolve(error !== null && error !== undefined);
    });
  });
}
