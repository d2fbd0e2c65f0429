import { setImmediate as setImmediatePromise } from "node:timers/promises";

/**
 * Runs a callback once all input that arrived before this moment has been read.
 * After the process has stalled, timers run before sockets are read: when a
 * timeout fires, the response may have arrived in time and still be unread.
 * @param callback Checks what has arrived.
 */
export function afterPendingInput(callback: () => void): void {
  setImmediate(callback);
}

/**
 * Waits until the event loop has looked at all connections once. What arrived
 * together with the input that is being handled has been read by then.
 */
export async function pendingInputRead(): Promise<void> {
  // The first turn ends before connections are looked at again.
  await setImmediatePromise();
  await setImmediatePromise();
}

/**
 * Creates a signal that aborts a call at a time limit, once all input that
 * arrived in time has been read.
 * @param limitMilliseconds The time limit, from now.
 * @returns The signal. Its timer does not keep the process running.
 */
export function createTimeoutSignal(limitMilliseconds: number): AbortSignal {
  const controller = new AbortController();
  setTimeout(() => {
    afterPendingInput(() => {
      controller.abort(new Error("No answer came in time."));
    });
  }, limitMilliseconds).unref();
  return controller.signal;
}
