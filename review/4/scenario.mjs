/**
 * All machines lose power at once and are back after half a second. Clients of a
 * resumable route notice the silence and take their streams up again, at machines
 * that have been back for more than `stable_window_ms`.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, Deployment, sleep } from "../standins/deployment.mjs";
import { KeptConnection } from "../standins/client.mjs";
import { Wire } from "../standins/wire.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== "0";
/** `down_s` of a closing "power_off_all" in the site's days. */
const DOWN_MS = 510;
const STABLE_WINDOW_MS = 3_000;
/** Four times the objective, the longest gap that the pages name here. */
const GAP_MS = 4_000;
const DEADLINE_MS = 12_000;
/** The site's rate of fabric-notes, over all machines. */
const STREAMS_A_SECOND = 11.7;
const EVENTS = 35;
const CALM_MS = 5_000;
const TROUBLE_MS = 9_000;
/** LOST: of 12 or more streams that are taken up again. */
const MINIMUM_RESUMED = 12;

const ROUTES = [{
  name: "fabric-notes",
  path_prefix: "/fabric/",
  kind: "streaming",
  timeout_ms: 12_000,
  target_latency_ms: 1_000,
  service: "draft-llm",
  attempts: 2,
  session_affinity: true,
  resumable: true,
  gap_target_ms: 400,
}];

const deployment = new Deployment();
const wires = [];
/** When the machines were started again. */
let backAt;
let isOver = false;
/** Streams taken up again at machines in touch, and those that went on. */
let resumed = 0;
let wentOn = 0;
/** New streams at machines in touch after the machines were back. */
let asked = 0;
let begun = 0;

const isInTouch = () =>
  backAt === undefined || Date.now() >= backAt + STABLE_WINDOW_MS;

function lastEventOf(bytes) {
  return [...bytes.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].at(-1)?.[1];
}

function send(wire, { resumes, lastEventId, deadline }) {
  const connection = new KeptConnection(wire.port);
  return connection.send({
    path: "/fabric/2f",
    body: Buffer.alloc(1_300, "q"),
    deadline,
    gapLimit: GAP_MS,
    headers: {
      model: "m0",
      "token-counts": "491,70",
      "prompt-prefix": "5c1e07a2:155",
      ...(resumes === undefined
        ? {}
        : { resumes, "last-event-id": lastEventId }),
    },
  }).finally(() => connection.close());
}

async function runClient(number) {
  const startedAt = Date.now();
  const first = wires[number % wires.length];
  const counts = isInTouch() && backAt !== undefined;
  if (counts) asked += 1;
  const end = await send(first, { deadline: DEADLINE_MS });
  const lastEventId = lastEventOf(end.bytes);
  deployment.record(
    `stream ${end.attempt}: ${end.outcome}, ${
      end.status ?? "no answer"
    }, last event ${lastEventId ?? "none"}, ${end.took} ms`,
  );
  if (counts && lastEventId !== undefined) begun += 1;
  if (end.outcome === "answered" || lastEventId === undefined) return;
  // The client's only retry, at another machine.
  const deadline = DEADLINE_MS - (Date.now() - startedAt);
  const isJudged = isInTouch();
  if (isJudged) resumed += 1;
  const again = await send(wires[(number + 1) % wires.length], {
    resumes: end.attempt,
    lastEventId,
    deadline,
  });
  const goesOn = again.status === 200 && lastEventOf(again.bytes) !== undefined;
  if (isJudged && goesOn) wentOn += 1;
  deployment.record(
    `stream ${end.attempt} is taken up as ${again.attempt} after event ${lastEventId}, ${
      Date.now() - (backAt ?? 0) - again.took
    } ms after the machines were back: ${again.outcome}, ${
      again.status ?? "no answer"
    } ${
      again.status === 200
        ? `up to event ${lastEventOf(again.bytes)}`
        : again.bytes
    }`,
  );
}

async function main() {
  deployment.onWorkerMessage((worker, { run }) => {
    if (run === undefined) return;
    deployment.record(
      `${worker.id} runs ${run.attempt} after event ${
        run.lastEventId ?? "none"
      }`,
    );
  });
  await deployment.startStore();
  deployment.put("keyed.op", "config", configuration(7, ROUTES));
  for (const id of ["i-llm-1", "i-llm-2", "i-llm-3"]) {
    await deployment.startWorker(id, "draft-llm", {
      slots: 128,
      events: EVENTS,
      pause_ms: 45,
    });
  }
  for (const zone of ["akl-hall-a", "akl-hall-b", "ham-hall"]) {
    const node = await deployment.addNode(`front-${zone}-1`, zone);
    wires.push(await new Wire(node.callers).start());
  }
  await deployment.awaitReady();
  await sleep(2_500);
  const clients = [];
  const timer = setInterval(() => {
    if (!isOver) clients.push(runClient(clients.length));
  }, 1_000 / STREAMS_A_SECOND);
  await sleep(CALM_MS);
  if (hasTrouble) {
    deployment.record("all machines lose power");
    for (const wire of wires) wire.cutPower();
    for (const node of deployment.nodes) {
      node.isDown = true;
      node.child.kill("SIGKILL");
    }
    await sleep(DOWN_MS);
    for (const [index, node] of deployment.nodes.entries()) {
      node.isDown = false;
      deployment.startNode(node);
      wires[index].restorePower();
    }
    backAt = Date.now();
    deployment.record("all machines have power again");
  } else {
    backAt = Date.now();
  }
  await sleep(TROUBLE_MS);
  isOver = true;
  clearInterval(timer);
  await Promise.race([Promise.all(clients), sleep(DEADLINE_MS)]);
}

let code = 2;
try {
  await main();
  const shareResumed = resumed === 0 ? 1 : wentOn / resumed;
  const shareBegun = asked === 0 ? 0 : begun / asked;
  deployment.record(
    `LOST: of ${resumed} streams taken up again at machines in touch, ${wentOn} went on (${
      (100 * shareResumed).toFixed(0)
    } in 100); of ${asked} new streams ${begun} began (${
      (100 * shareBegun).toFixed(0)
    } in 100)`,
  );
  code = resumed >= MINIMUM_RESUMED && shareResumed < shareBegun / 2 ? 1 : 0;
  if (hasTrouble && resumed < MINIMUM_RESUMED) code = 2;
} catch (error) {
  deployment.record(`could not run: ${error.stack}`);
} finally {
  for (const wire of wires) wire.stop();
  await deployment.stop();
  deployment.writeRecord(join(HERE, "record.txt"));
}
process.exit(code);
