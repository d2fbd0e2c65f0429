/** The thread behind `watchExit`: it writes what holds the main thread. */
import { readFileSync, writeSync } from "node:fs";
import { type Debugger, type Profiler, Session } from "node:inspector/promises";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";

const STDERR = 2;
/** A process that exits does so within this time, in milliseconds. */
const EXIT_MILLISECONDS = 15_000;
const PROFILE_MILLISECONDS = 2_000;
const MOST_FUNCTIONS = 15;
/** Processor time is told in ticks of 10 ms. */
const TICK_MILLISECONDS = 10;
/** Fields of /proc/PID/stat, counted behind the name of the program. */
const STATE = 0;
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Evaluated by the main thread. */
const HANDLES = `process._getActiveHandles().map((handle) => [
  handle.constructor.name, handle.listening, handle.destroyed,
  handle.readyState, handle.localPort ?? handle.address?.()?.port,
  handle.remotePort, handle.spawnfile,
].join(" ")).concat(process.getActiveResourcesInfo().join(" ")).join("\\n")`;

const session = new Session();

function write(text: string): void {
  writeSync(STDERR, `${text}\n`);
}

function readMainThread() {
  const { pid } = process;
  const text = readFileSync(`/proc/${pid}/task/${pid}/stat`, "latin1");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return {
    state: fields[STATE],
    used: (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) *
      TICK_MILLISECONDS,
  };
}

function describeStack(frames: readonly Debugger.CallFrame[]): string {
  return frames.map(({ functionName, url, location }) =>
    `  ${functionName} ${url}:${location.lineNumber + 1}`
  ).join("\n");
}

/** The functions that were seen most often, and how often. */
function describeProfile({ nodes, samples = [] }: Profiler.Profile): string {
  const counts = new Map<number, number>();
  for (const id of samples) counts.set(id, (counts.get(id) ?? 0) + 1);
  return nodes
    .map((node) => ({ ...node.callFrame, count: counts.get(node.id) ?? 0 }))
    .toSorted((one, other) => other.count - one.count)
    .slice(0, MOST_FUNCTIONS)
    .map(({ count, functionName, url, lineNumber }) =>
      `  ${count} ${functionName} ${url}:${lineNumber + 1}`
    ).join("\n");
}

async function tellProcessorTime(): Promise<void> {
  const before = readMainThread();
  await session.post("Profiler.enable");
  await session.post("Profiler.start");
  await sleep(PROFILE_MILLISECONDS);
  const { profile } = await session.post("Profiler.stop");
  const { state, used } = readMainThread();
  const spent = used - before.used;
  write(
    `Main thread: state ${state}, ${spent} ms of ${PROFILE_MILLISECONDS} used`,
  );
  write(`Samples:\n${describeProfile(profile)}`);
}

async function tellStack(): Promise<void> {
  const paused = new Promise<string>((resolve) => {
    session.once("Debugger.paused", ({ params }) => {
      resolve(describeStack(params.callFrames));
    });
  });
  await session.post("Debugger.enable");
  await session.post("Debugger.pause");
  // A thread that waits in its event loop runs nothing that could be paused.
  const stack = await Promise.race([paused, sleep(PROFILE_MILLISECONDS)]);
  await session.post("Debugger.disable");
  write(`Stack:\n${stack ?? "  none, no script runs"}`);
}

async function tellHandles(): Promise<void> {
  const { result } = await session.post("Runtime.evaluate", {
    expression: HANDLES,
  });
  write(`Handles:\n${String(result.value)}`);
}

await sleep(EXIT_MILLISECONDS);
write(`The process is still there ${EXIT_MILLISECONDS} ms after its tests.`);
// Calls to the main thread alone would not keep this one.
const alive = setInterval(() => undefined, PROFILE_MILLISECONDS);
session.connectToMainThread();
await tellProcessorTime();
await tellStack();
await tellHandles();
session.disconnect();
clearInterval(alive);
