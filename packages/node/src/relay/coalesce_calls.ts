/**
 * Coalesces the calls of one turn of the event loop: the callback runs once,
 * after the code that is running and before any other event is handled.
 * @param callback What to run.
 * @returns Requests a run of the callback.
 */
export function coalesceCalls(callback: () => void): () => void {
  let isDue = false;
  return () => {
    if (isDue) return;
    isDue = true;
    queueMicrotask(() => {
      isDue = false;
      callback();
    });
  };
}
