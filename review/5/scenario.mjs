/**
 * Rare models are asked for at once, on workers whose memory holds fewer adapters
 * than they have places for.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, Deployment, sleep } from "../standins/deployment.mjs";
import { KeptConnection } from "../standins/client.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== "0";
/** The size of an adapter on the sheets of Tidewell and Echeverría. */
const ADAPTER_MB = 66;
/** `weight_megabytes` of a worker and of its model, as in the configuration. */
const SPACE_MB = 16_700 - 16_100;
/** Memory holds nine. */
const USUAL_ADAPTERS = 8;
const USUAL_CLIENTS = 20;
/** A burst of 2.4 times the traffic; each further client asks for its own. */
const BURST = 2.4;
const CALM_MS = 5_000;
const BURST_MS = 8_000;

const ROUTES = [{
  name: "stain-notes",
  path_prefix: "/stain/",
  kind: "streaming",
  timeout_ms: 10_000,
  target_latency_ms: 800,
  service: "draft-llm",
  session_affinity: true,
  resumable: false,
  gap_target_ms: 400,
}];

const deployment = new Deployment();
const broken = [];
const counts = new Map();
let isOver = false;

async function ask(node, adapter) {
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
    const status = end.status ?? "no answer";
    const key = `stain-notes: ${end.outcome}, ${status}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
    deployment.record(
      `client at ${node.name}: ${adapter} ${end.attempt} ${end.outcome}, ${status}, ${end.took} ms`,
    );
    await sleep(1_000);
  }
  connection.close();
}

async function main() {
  deployment.onWorkerMessage((worker, { run, order, over }) => {
    if (run !== undefined) {
      deployment.record(`${worker.id} runs ${run.attempt}`);
    }
    if (order !== undefined) {
      const { operation, adapter, holder, fencing_token: fence, status } =
        order;
      deployment.record(
        `${worker.id} is ordered by ${holder} (${fence}) to ${operation} ${adapter}: ${status}`,
      );
    }
    if (over !== undefined) {
      broken.push(over);
      deployment.record(
        `${worker.id} is ordered to load ${over.adapters} adapters, ${over.megabytes} MB where ${SPACE_MB} are free beside the model`,
      );
    }
  });
  await deployment.startStore();
  deployment.put(
    "keyed.op",
    "config",
    configuration(7, ROUTES, { adapterMegabytes: ADAPTER_MB }),
  );
  for (const id of ["i-llm-1", "i-llm-2", "i-llm-3"]) {
    await deployment.startWorker(id, "draft-llm", {
      slots: 128,
      events: 35,
      pause_ms: 20,
      adapter_mb: ADAPTER_MB,
    });
  }
  for (const zone of ["akl-hall-a", "akl-hall-b", "ham-hall"]) {
    await deployment.addNode(`front-${zone}-1`, zone);
  }
  await deployment.awaitReady();
  await sleep(2_500);
  const clients = [];
  const addClient = (adapter) => {
    const node = deployment.nodes[clients.length % deployment.nodes.length];
    clients.push(ask(node, `a${adapter}`));
  };
  for (let index = 0; index < USUAL_CLIENTS; index += 1) {
    addClient(1 + index % USUAL_ADAPTERS);
  }
  await sleep(CALM_MS);
  if (hasTrouble) {
    deployment.record("rare adapters are asked for at once");
    const further = Math.round(USUAL_CLIENTS * (BURST - 1));
    for (let index = 1; index <= further; index += 1) {
      addClient(USUAL_ADAPTERS + index);
    }
  }
  await sleep(BURST_MS);
  isOver = true;
  await Promise.race([Promise.all(clients), sleep(4_000)]);
}

let code = 2;
try {
  await main();
  for (const [key, count] of [...counts].sort()) {
    deployment.record(`${key}: ${count}`);
  }
  deployment.record(
    `LIMIT: workers were ordered ${broken.length} times to load more than weight_megabytes hold`,
  );
  code = broken.length > 0 ? 1 : 0;
} catch (error) {
  deployment.record(`could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  deployment.writeRecord(join(HERE, "record.txt"));
}
process.exit(code);
