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
 * @param limit The time from now, in milliseconds.
 * @returns The signal, which does not keep the process.
 */
export function inputTimeout(limit: number): AbortSignal {
  const over = new AbortController();
  setTimeout(() => {
    afterPendingInput(() => {
      over.abort(new Error("No answer came in time."));
    });
  }, limit).unref();
  return over.signal;
}
