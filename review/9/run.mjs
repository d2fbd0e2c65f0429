/** Model workers stop some streams in the middle of an event, with an orderly last chunk. */
import { Client, Deployment, MODEL, sleep, TROUBLE } from "../standins-2/deployment.mjs";
import { Worker } from "../standins-2/worker.mjs";

const MODEL_WORKERS = 8;
const FAULTY_WORKERS = 2;
/** Two in a hundred answers, as the site's largest garble has it. */
const SPOILT_EVERY = 50;
const TROUBLE_MS = 5500;
const NOTES_PER_SECOND = 84;
const EVENTS = 35;
const deployment = new Deployment(import.meta.dirname);
await deployment.startStore();
const workers = [];
for (let n = 0; n < MODEL_WORKERS; n += 1) {
  workers.push(await deployment.addWorker(new Worker({ id: `i-draft-${n}`, service: "draft-llm", zone: "akl-hall-a", store: deployment.store, engine: { models: [MODEL] }, events: EVENTS, gapMs: 20 })));
}
await deployment.startNodes(1);
const [node] = deployment.nodes;
let answers = 0;
let spoilt = 0;
if (TROUBLE) {
  deployment.say(`${FAULTY_WORKERS} of ${MODEL_WORKERS} model workers stop each ${SPOILT_EVERY}th stream in the middle of an event`);
  for (const worker of workers.slice(0, FAULTY_WORKERS)) {
    worker.stopsEarly = () => {
      answers += 1;
      const isSpoilt = answers % SPOILT_EVERY === 0;
      if (isSpoilt) spoilt += 1;
      return isSpoilt;
    };
  }
}
const notes = [];
const begunAt = Date.now();
for (let n = 0; Date.now() - begunAt < TROUBLE_MS; n += 1) {
  const client = new Client(deployment, node, `notes${n}`);
  notes.push(client.send({
    path: "/notes/1", method: "POST", deadline: 12000, body: "x".repeat(1300),
    headers: { model: MODEL, "token-counts": "646,70", "prompt-prefix": `5c1e07a2:93,${n.toString(16)}:553` },
  }).then((result) => { client.close(); return result; }));
  await sleep(1000 / NOTES_PER_SECOND);
}
const results = await Promise.all(notes);
const complete = results.filter((one) => one.status === 200 && one.complete);
const early = complete.filter(({ body }) => !body.endsWith("\n\n") || !body.includes(`id: ${EVENTS}\n`));
for (const one of early) deployment.record(`stream ${one.id} came with its last chunk, so as complete; it ends with ${JSON.stringify(one.body.slice(-40))}`);
for (const worker of workers) {
  for (const run of worker.runs.filter((one) => one.stoppedAt !== undefined)) deployment.record(`worker ${worker.id} stopped ${run.id} inside event ${run.stoppedAt}`);
}
deployment.say(`notes sent ${results.length}, complete ${complete.length}; streams that a worker stopped inside an event: ${spoilt}`);
deployment.say(`ORDER: ${early.length} streams ended as complete before their last piece (one breaks the rule)`);
await deployment.end(early.length > 0 ? 1 : 0);
