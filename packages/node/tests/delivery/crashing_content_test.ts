/**
 * The product's own interface, and a request that ends each engine that runs
 * it: it is known by its content, on all nodes.
 */
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startTestCluster, type TestCluster } from "../helpers/test_cluster.ts";

const ADAPTER = "stain-notes";
const DEADLY = "A text that ends engines.";
/** Engines that a content may end before it is refused. */
const MOST_CRASHES = 3;
/** From the last of these on, nodes have so long to learn of it. */
const LEARNING_MILLISECONDS = 3_000;
/** Engines that it may end after that. */
const MOST_MORE = 3;
const CALLERS_TRIES = 12;
const PAUSE = 100;

async function startCluster(t: ExecutionContext): Promise<TestCluster> {
  const cluster = await startTestCluster({ nodes: 3, engines: 4 });
  t.teardown(() => cluster.close());
  await cluster.publish([
    {
      kind: "set_class",
      class: "drafting",
      target: { firstTokenMilliseconds: 5_000 },
    },
    {
      kind: "set_adapter",
      adapter: ADAPTER,
      model: "base",
      versions: ["v1"],
      current: "v1",
    },
  ]);
  for (const engine of cluster.engines) {
    engine.setFaults({ crashOnText: DEADLY });
  }
  return cluster;
}

interface Answer {
  readonly status: number;
  readonly retryAfter: string | null;
  readonly text: string;
}

async function ask(
  cluster: TestCluster,
  node: number,
  content: string,
): Promise<Answer> {
  const answer = await fetch(`${cluster.url(node)}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-foxtailwind-class": "drafting",
    },
    body: JSON.stringify({
      model: ADAPTER,
      messages: [{ role: "user", content }],
      max_tokens: 60,
    }),
  });
  return {
    status: answer.status,
    retryAfter: answer.headers.get("retry-after"),
    text: await answer.text(),
  };
}

function countCrashes({ engines }: TestCluster): number {
  return engines.reduce((sum, one) => sum + one.readCounters().restarts, 0);
}

// Guards against engines that end one after the other under one request, which
// is tried again by its node, and comes again at others.
test.serial("a content that ends engines is refused by all nodes", async (t) => {
  const cluster = await startCluster(t);
  const askFor = async (time: number) => {
    const until = performance.now() + time;
    for (let turn = 0; performance.now() < until; turn += 1) {
      const node = turn % cluster.nodes.length;
      t.not((await ask(cluster, node, DEADLY)).status, 200);
      await sleep(PAUSE);
    }
  };
  while (countCrashes(cluster) < MOST_CRASHES) await askFor(PAUSE);
  await askFor(LEARNING_MILLISECONDS);
  const learnt = countCrashes(cluster);
  await askFor(LEARNING_MILLISECONDS);
  const crashes = countCrashes(cluster);
  t.true(crashes - learnt <= MOST_MORE, `${crashes - learnt} more ended.`);
  t.log(`${learnt} engines ended, ${crashes - learnt} later.`);
  for (const node of cluster.nodes.keys()) {
    const refused = await ask(cluster, node, DEADLY);
    t.is(refused.status, 503);
    t.regex(refused.text, /"outcome":"not_run"/);
    t.true(Number(refused.retryAfter) > 0);
    t.is((await ask(cluster, node, "Another text.")).status, 200);
  }
  t.is(countCrashes(cluster), crashes);
});

// Guards against contents that are refused since engines ended for other
// reasons, or since streams broke off at engines that live.
test.serial("what runs beside crashes, or loses its stream, is not refused", async (t) => {
  const cluster = await startCluster(t);
  for (const engine of cluster.engines) {
    engine.setFaults({ dropNextStreams: 2, dropStreamAfterTokens: 3 });
  }
  for (let turn = 0; turn < CALLERS_TRIES; turn += 1) {
    const answered = ask(cluster, turn % cluster.nodes.length, "Good text.");
    const engine = cluster.engines[turn % cluster.engines.length];
    if (turn % 3 === 0) engine?.restart();
    await answered;
    await sleep(PAUSE);
  }
  await sleep(1_000);
  for (const node of cluster.nodes.keys()) {
    t.is((await ask(cluster, node, "Good text.")).status, 200);
  }
});
