import { writeSync } from "node:fs";
import { Socket } from "node:net";
import process from "node:process";
import { Worker } from "node:worker_threads";

const STDERR = 2;

/** Handles that keep the event loop alive; Node tells them in no other way. */
type ActiveHandles = { readonly _getActiveHandles: () => readonly unknown[] };

/**
 * Watches for a process that stays after its tests. While its event loop
 * lives, a thread tells whether it spins or waits, its stack, its handles, and
 * what its processor time goes to. A connection that is destroyed and never
 * closed, which holds the process after its event loop has ended, is told as
 * that loop ends.
 */
export function watchExit(): void {
  const thread = new URL("exit_watch_thread.ts", import.meta.url).href;
  // Threads do not inherit the loader of TypeScript from their process.
  const worker = new Worker(
    `import("tsx/esm/api").then(({ register }) => {
      register();
      return import("${thread}");
    });`,
    { eval: true },
  );
  worker.unref();
  process.once("exit", () => {
    for (const handle of activeHandles()) {
      if (handle instanceof Socket && handle.destroyed) {
        writeSync(STDERR, `Never closed: ${describeSocket(handle)}\n`);
      }
    }
  });
}

function activeHandles(): readonly unknown[] {
  return (process as unknown as ActiveHandles)._getActiveHandles();
}

function describeSocket(socket: Socket): string {
  const { localAddress, localPort, remotePort, readyState } = socket;
  return `${localAddress}:${localPort} to ${remotePort}, ${readyState}`;
}
