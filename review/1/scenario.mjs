/**
 * The operator names a new version of one adapter, an integer above 2^32, while
 * clients use the adapter and the other service.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, Deployment, sleep } from "../standins/deployment.mjs";
import { KeptConnection } from "../standins/client.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== "0";
/** The year, month, day, hour and minute, as many name their releases. */
const NEW_VERSION = Number(process.env.VERSION ?? 202612041630);
const CALM_MS = 4_000;
const TROUBLE_MS = 12_000;
/** LOST: more than three times. */
const ALLOWED_LOSSES = 3;

const ROUTES = [
  {
    name: "stain-notes",
    path_prefix: "/stain/",
    kind: "streaming",
    timeout_ms: 10_000,
    target_latency_ms: 800,
    service: "draft-llm",
    session_affinity: true,
    resumable: false,
    gap_target_ms: 400,
  },
  {
    name: "slot-lookup",
    path_prefix: "/slots/",
    kind: "unsafe",
    timeout_ms: 1_000,
    target_latency_ms: 150,
    priority: 2,
    service: "booking-app",
  },
];

const deployment = new Deployment();
/** Attempts that a worker has run. */
const runs = new Set();
const lost = [];
const counts = new Map();
let isOver = false;

function note(node, route, end) {
  const status = end.status ?? "no answer";
  const key = `${route}: ${end.outcome}, ${status}`;
  counts.set(key, (counts.get(key) ?? 0) + 1);
  deployment.record(
    `client at ${node.name}: ${route} ${end.attempt} ${end.outcome}, ${status}, ${end.took} ms, kept=${end.isKept}`,
  );
}

/** One connection after the other, each kept for as long as it lives. */
async function askSlots(node) {
  const connection = new KeptConnection(node.callers);
  while (!isOver) {
    const end = await connection.send({
      path: "/slots/2f",
      body: Buffer.alloc(600, "q"),
      deadline: 1_000,
    });
    note(node, "slot-lookup", end);
    const isLost = end.outcome === "closed" && end.status === undefined &&
      end.isKept;
    // The worker's message may arrive a moment later.
    if (isLost) {
      setTimeout(() => runs.has(end.attempt) && lost.push(end.attempt), 200);
    }
    await sleep(end.outcome === "answered" ? 20 : 200);
  }
  connection.close();
}

async function askNotes(node, adapter) {
  const connection = new KeptConnection(node.callers);
  while (!isOver) {
    const end = await connection.send({
      path: "/stain/2f",
      body: Buffer.alloc(1_300, "q"),
      deadline: 10_000,
      gapLimit: 3_200,
      headers: {
        model: `m0/${adapter}`,
        "token-counts": "491,70",
        "prompt-prefix": "5c1e07a2:155",
      },
    });
    note(node, "stain-notes", end);
    await sleep(200);
  }
  connection.close();
}

async function main() {
  deployment.onWorkerMessage((worker, { run, order }) => {
    if (run !== undefined) {
      runs.add(run.attempt);
      deployment.record(`${worker.id} runs ${run.attempt} ${run.path}`);
    }
    if (order !== undefined) {
      const {
        operation,
        adapter,
        version,
        holder,
        fencing_token: fence,
        status,
      } = order;
      deployment.record(
        `${worker.id} is ordered by ${holder} (${fence}) to ${operation} ${adapter} version ${version}: ${status}`,
      );
    }
  });
  await deployment.startStore();
  deployment.put("keyed.op", "config", configuration(7, ROUTES));
  for (const id of ["i-llm-1", "i-llm-2", "i-llm-3"]) {
    await deployment.startWorker(id, "draft-llm", {
      slots: 128,
      events: 35,
      pause_ms: 20,
    });
  }
  for (const id of ["i-app-1", "i-app-2", "i-app-3"]) {
    await deployment.startWorker(id, "booking-app", { slots: 6, work_ms: 40 });
  }
  for (const zone of ["akl-hall-a", "akl-hall-b", "ham-hall"]) {
    await deployment.addNode(`front-${zone}-1`, zone);
  }
  await deployment.awaitReady();
  await sleep(2_500);
  deployment.watchMemory();
  const clients = deployment.nodes.flatMap((node) => [
    ...Array.from({ length: 4 }, () => askSlots(node)),
    ...["a1", "a2", "a3"].map((adapter) => askNotes(node, adapter)),
  ]);
  await sleep(CALM_MS);
  if (hasTrouble) {
    deployment.record(`the operator names version ${NEW_VERSION} of m0/a1`);
    deployment.nameVersion("a1", NEW_VERSION);
  }
  await sleep(TROUBLE_MS);
  isOver = true;
  await Promise.race([Promise.all(clients), sleep(4_000)]);
  await sleep(300);
}

let code = 2;
try {
  await main();
  for (const { name, ends, logs } of deployment.nodes) {
    deployment.record(
      `${name} ended by itself ${ends.length} times: ${ends.join("; ")}`,
    );
    const error = logs.join("").split("\n").find((line) =>
      line.includes("unexpected error")
    );
    if (error !== undefined) {
      deployment.record(`${name}: ${JSON.parse(error).detail.split("\n")[0]}`);
    }
  }
  for (const [key, count] of [...counts].sort()) {
    deployment.record(`${key}: ${count}`);
  }
  deployment.record(
    `LOST: ${lost.length} requests from kept connections were run by a sound worker and got no answer before their connection was closed (allowed: ${ALLOWED_LOSSES})`,
  );
  code = lost.length > ALLOWED_LOSSES ? 1 : 0;
} catch (error) {
  deployment.record(`could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  deployment.writeRecord(join(HERE, "record.txt"));
}
process.exit(code);
