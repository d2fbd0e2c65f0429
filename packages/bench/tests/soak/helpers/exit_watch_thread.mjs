/** The thread behind `watchExit`: it writes what holds the main thread. */
import { readFileSync, writeSync } from "node:fs";
import { Session } from "node:inspector";
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

const HANDLES = `process._getActiveHandles().map((handle) => [
  handle.constructor.name, handle.listening, handle.destroyed,
  handle.readyState, handle.localPort ?? handle.address?.()?.port,
  handle.remotePort, handle.spawnfile,
].join(" ")).concat(process.getActiveResourcesInfo().join(" ")).join("\\n")`;

const session = new Session();
// Calls to the main thread alone would not keep this one.
const alive = setInterval(() => undefined, PROFILE_MILLISECONDS);

function write(text) {
  writeSync(STDERR, `${text}\n`);
}

function post(method, parameters) {
  return new Promise((resolve, reject) => {
    session.post(method, parameters, (error, result) => {
      if (error === null) resolve(result);
      else reject(new Error(error.message));
    });
  });
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

function stackOf({ callFrames }) {
  return callFrames.map(({ functionName, url, location }) =>
    `  ${functionName || "(anonymous)"} ${url}:${location.lineNumber + 1}`
  ).join("\n");
}

function hottest({ nodes, samples }) {
  const counts = new Map();
  for (const id of samples) counts.set(id, (counts.get(id) ?? 0) + 1);
  const byId = new Map(nodes.map((node) => [node.id, node.callFrame]));
  return [...counts].sort(([, one], [, other]) => other - one)
    .slice(0, MOST_FUNCTIONS).map(([id, count]) => {
      const { functionName, url, lineNumber } = byId.get(id);
      return `  ${count} ${functionName} ${url}:${lineNumber + 1}`;
    }).join("\n");
}

async function tellStack() {
  await post("Debugger.enable");
  const paused = new Promise((resolve) => {
    session.once("Debugger.paused", ({ params }) => {
      resolve(stackOf(params));
    });
  });
  await post("Debugger.pause");
  // A thread that waits in its event loop runs nothing that could be paused.
  const stack = await Promise.race([paused, sleep(PROFILE_MILLISECONDS)]);
  await post("Debugger.disable");
  write(`Stack:\n${stack ?? "  none, no script runs"}`);
}

async function tellProcessorTime() {
  const before = readMainThread();
  await post("Profiler.enable");
  await post("Profiler.start");
  await sleep(PROFILE_MILLISECONDS);
  const { profile } = await post("Profiler.stop");
  const { state, used } = readMainThread();
  const spent = used - before.used;
  write(
    `Main thread: state ${state}, ${spent} ms of ${PROFILE_MILLISECONDS} used`,
  );
  write(`Samples:\n${hottest(profile)}`);
}

async function tellHandles() {
  const { result } = await post("Runtime.evaluate", { expression: HANDLES });
  write(`Handles:\n${result.value}`);
}

await sleep(EXIT_MILLISECONDS);
write(`The process is still there ${EXIT_MILLISECONDS} ms after its tests.`);
session.connectToMainThread();
await tellProcessorTime();
await tellStack();
await tellHandles();
session.disconnect();
clearInterval(alive);
