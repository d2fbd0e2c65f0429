import process from "node:process";
import type { buildConnector } from "undici";

let isFailing = false;

/**
 * Tells whether a connection to a backend server is failing at this moment.
 * undici takes a reset for the end of an answer that has no stated length;
 * whoever is told of that end asks here whether it came by a failure.
 * @returns Whether the end that is being told came by an error.
 */
export function isSocketFailing(): boolean {
  return isFailing;
}

/**
 * Takes note of errors of the connections that a connector makes, ahead of
 * undici's own listener.
 * @param connect Makes connections.
 * @returns A connector that does the same, and takes note.
 */
export function noteSocketErrors(
  connect: buildConnector.connector,
): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) socket.prependListener("error", noteError);
      callback(...result);
    });
  };
}

/** Listeners of one error run one after the other, before the next tick. */
function noteError(): void {
  isFailing = true;
  process.nextTick(() => {
    isFailing = false;
  });
}
