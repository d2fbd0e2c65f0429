/**
 * Calls back once all input has been read that came before this moment. After a
 * stall of the process, timers run ahead of connections: what is judged at a
 * limit may have come in time, and still wait to be read.
 * @param callback Judges what has come.
 */
export function afterPendingInput(callback: () => void): void {
  setImmediate(callback);
}

/**
 * Gives a signal that ends a call at its limit, once what came in time is read.
 * @param limitMilliseconds The time from now, in milliseconds.
 * @returns The signal, which does not keep the process.
 */
export function inputTimeout(limitMilliseconds: number): AbortSignal {
  const controller = new AbortController();
  setTimeout(() => {
    afterPendingInput(() => {
      controller.abort(new Error("No answer came in time."));
    });
  }, limitMilliseconds).unref();
  return controller.signal;
}
