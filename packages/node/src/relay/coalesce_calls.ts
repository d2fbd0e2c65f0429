/**
 * Coalesces calls: the callback runs once, in a microtask after the code that
 * is running.
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
