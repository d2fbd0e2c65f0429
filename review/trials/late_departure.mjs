/**
 * A trial, not a case: open connections to the store go silent for good, and a
 * worker's entry is removed a moment later while it serves on. Prints how long
 * requests still reach it.
 *
 *     node review/trials/late_departure.mjs [MILLISECONDS] [0]
 *
 * The entry is removed so long after the connections went silent (800); with 0 as
 * second argument they stay as they are.
 */
import { configuration, Deployment, sleep } from "../standins/deployment.mjs";
import { KeptConnection } from "../standins/client.mjs";
import { Wire } from "../standins/wire.mjs";

const REMOVAL_MS = Number(process.argv[2] ?? 800);
const hasTrouble = process.argv[3] !== "0";
const DRAIN_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;

const deployment = new Deployment();
await deployment.startStore();
const wire = await new Wire(deployment.storePort).start();
// Nodes reach the store by the wire.
deployment.storePort = wire.port;
deployment.put(
  "keyed.op",
  "config",
  configuration(7, [{
    name: "slot-lookup",
    path_prefix: "/slots/",
    kind: "unsafe",
    timeout_ms: 1_000,
    target_latency_ms: 150,
    priority: 2,
    service: "booking-app",
  }]),
);
for (const id of ["i-app-1", "i-app-2", "i-app-3"]) {
  await deployment.startWorker(id, "booking-app", { slots: 6, work_ms: 40 });
}
for (const zone of ["akl-hall-a", "akl-hall-b", "ham-hall"]) {
  await deployment.addNode(`front-${zone}-1`, zone);
}
/** When requests reached the worker that leaves, and when they were sent. */
const arrivals = [];
const sentAt = new Map();
deployment.onWorkerMessage(({ id }, { run }) => {
  if (id === "i-app-1" && run !== undefined) {
    arrivals.push({ at: Date.now(), attempt: run.attempt });
  }
});
await deployment.awaitReady();
await sleep(4_000);
let isOver = false;
async function ask(node) {
  const connection = new KeptConnection(node.callers);
  while (!isOver) {
    const at = Date.now();
    const end = await connection.send({
      path: "/slots/2f",
      body: Buffer.alloc(600, "q"),
      deadline: 1_000,
    });
    sentAt.set(end.attempt, at);
    await sleep(30);
  }
  connection.close();
}
for (const node of deployment.nodes) {
  for (let count = 0; count < 3; count += 1) void ask(node);
}
await sleep(2_000);
const silentAt = Date.now();
if (hasTrouble) wire.silenceOpen();
await sleep(REMOVAL_MS);
const { timer } = deployment.workers.get("i-app-1");
clearInterval(timer);
deployment.put("keyed.servers", "i-app-1", null);
const removedAt = Date.now();
await sleep(6_000);
isOver = true;
await sleep(500);
const late = arrivals.filter(({ at }) => at > removedAt + DRAIN_MS);
const inTouch = late.filter(({ attempt }) =>
  sentAt.get(attempt) >= silentAt + STABLE_WINDOW_MS
);
const last = Math.max(...arrivals.map(({ at }) => at));
console.log(
  `removed ${
    removedAt - silentAt
  } ms after the silence; the last request reached the worker ${
    last - removedAt
  } ms after its removal; ${late.length} came after ${DRAIN_MS} ms, ${inTouch.length} of them sent by machines in touch`,
);
wire.stop();
await deployment.stop();
