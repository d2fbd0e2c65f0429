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
