import type { Socket } from "node:net";
import process from "node:process";
import type { buildConnector } from "undici";

/** Set while a connection's end is being told to its listeners. */
let currentEndFailure: Promise<boolean> | undefined;

/** The connection whose bytes are being read at this moment. */
let lastReadSocket: Socket | undefined;

/** Connections that brought more than the answers that were asked for. */
const socketsWithExtraResponse = new WeakSet<Socket>();

/** undici's code for an answer on a connection that owes none. */
const UNEXPECTED_RESPONSE_CODE = "UND_ERR_SOCKET";

const EMPTY_BUFFER = Buffer.alloc(0);

/**
 * Tells how the connection ends whose end is being told at this moment.
 * undici takes a reset for the end of an answer without a length; libuv even
 * reports a reset as an orderly end where it comes together with the last
 * bytes. Whoever is told of such an end asks here whether it was a failure.
 * @returns Whether the connection failed, or nothing where none ends now.
 */
export function failureOfEnd(): Promise<boolean> | undefined {
  return currentEndFailure;
}

/**
 * Tells whether a further answer follows the one whose end is being told, on
 * the same connection. Then either of them may be a late repeat of an earlier
 * answer, and neither is known to be the one that was asked for.
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
 * Takes note of how the connections end that a connector makes, ahead of
 * undici's own listeners.
 * @param connect Makes connections.
 * @returns A connector that does the same, and takes note.
 */
export function noteConnectionEnds(
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
 * Ends a connection at once, by a reset where there can be one. While an end of
 * its own is under way Node refuses the reset and never closes the connection:
 * it keeps its descriptor, tells no close, and holds the process at its exit.
 * @param socket The connection.
 */
export function resetConnection(socket: Socket): void {
  const isFinishing = socket.writableEnded && !socket.writableFinished;
  if (isFinishing) socket.destroy();
  else socket.resetAndDestroy();
}

/** Listeners of one event run one after the other, before the next tick. */
function setCurrentEndFailure(hasFailed: Promise<boolean>): void {
  currentEndFailure = hasFailed;
  process.nextTick(() => {
    if (currentEndFailure === hasFailed) currentEndFailure = undefined;
  });
}

/**
 * A connection that its peer has closed in order still takes writes, one that
 * was reset does not. No bytes are written, so that the peer sees nothing.
 */
function rejectsWrites(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(EMPTY_BUFFER, (error) => {
      resolve(error !== null && error !== undefined);
    });
  });
}
