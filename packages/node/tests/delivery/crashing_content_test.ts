/**
 * Tests, through the product's own interface, the quarantine of requests that
 * crash engines. All nodes identify such requests by content.
 */
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startTestCluster, type TestCluster } from "../helpers/test_cluster.ts";

const ADAPTER = "stain-notes";
const CRASHING_TEXT = "A text that ends engines.";
/** Engines that a content may crash before it is refused. */
const CRASHES_BEFORE_REFUSAL = 3;
/** How long nodes have after the last of these to learn of the content. */
const PROPAGATION_MILLISECONDS = 3_000;
/** Engines that the content may crash after that. */
const MAXIMUM_LATER_CRASHES = 3;
const CALLER_ATTEMPTS = 12;
const PAUSE_MILLISECONDS = 100;

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
    engine.setFaults({ crashOnText: CRASHING_TEXT });
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
  sharedMessages: readonly string[] = [],
): Promise<Answer> {
  const answer = await fetch(`${cluster.url(node)}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-foxtailwind-class": "drafting",
    },
    body: JSON.stringify({
      model: ADAPTER,
      messages: [...sharedMessages, content].map((text) => ({
        role: "user",
        content: text,
      })),
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
  return engines.reduce(
    (sum, engine) => sum + engine.readCounters().restarts,
    0,
  );
}

// Guards against one request crashing engine after engine, because its node
// retries it and the caller sends it again to other nodes.
test.serial("all nodes refuse a content that crashes engines", async (t) => {
  const cluster = await startCluster(t);
  const askDuring = async (time: number) => {
    const until = performance.now() + time;
    for (let turn = 0; performance.now() < until; turn += 1) {
      const node = turn % cluster.nodes.length;
      t.not((await ask(cluster, node, CRASHING_TEXT)).status, 200);
      await sleep(PAUSE_MILLISECONDS);
    }
  };
  while (countCrashes(cluster) < CRASHES_BEFORE_REFUSAL) {
    await askDuring(PAUSE_MILLISECONDS);
  }
  await askDuring(PROPAGATION_MILLISECONDS);
  const crashesAtRefusal = countCrashes(cluster);
  await askDuring(PROPAGATION_MILLISECONDS);
  const crashes = countCrashes(cluster);
  t.true(
    crashes - crashesAtRefusal <= MAXIMUM_LATER_CRASHES,
    `${crashes - crashesAtRefusal} more ended.`,
  );
  t.log(
    `${crashesAtRefusal} engines ended, ${crashes - crashesAtRefusal} later.`,
  );
  for (const node of cluster.nodes.keys()) {
    const refused = await ask(cluster, node, CRASHING_TEXT);
    t.is(refused.status, 503);
    t.regex(refused.text, /"outcome":"not_run"/);
    t.true(Number(refused.retryAfter) > 0);
    t.is((await ask(cluster, node, "Another text.")).status, 200);
  }
  t.is(countCrashes(cluster), crashes);
});

// Guards against a message that crashes engine after engine because the prompts
// that it is in all end differently.
test.serial("all nodes refuse prompts with a message that crashes engines", async (t) => {
  const cluster = await startCluster(t);
  let turn = 0;
  const askNext = async (sharedMessages: readonly string[]) => {
    turn += 1;
    const node = turn % cluster.nodes.length;
    return await ask(cluster, node, `Text ${turn}.`, sharedMessages);
  };
  const crashing = ["Common text.", CRASHING_TEXT];
  const askDuring = async (time: number) => {
    const until = performance.now() + time;
    while (performance.now() < until) {
      t.not((await askNext(crashing)).status, 200);
      await askNext(["Common text.", `Sound text ${turn}.`]);
      await sleep(PAUSE_MILLISECONDS);
    }
  };
  while (countCrashes(cluster) < CRASHES_BEFORE_REFUSAL) {
    await askDuring(PAUSE_MILLISECONDS);
  }
  await askDuring(PROPAGATION_MILLISECONDS);
  const crashesAtRefusal = countCrashes(cluster);
  await askDuring(PROPAGATION_MILLISECONDS);
  const laterCrashes = countCrashes(cluster) - crashesAtRefusal;
  t.log(`${crashesAtRefusal} engines ended, ${laterCrashes} later.`);
  t.true(laterCrashes <= MAXIMUM_LATER_CRASHES);
  for (let request = 0; request < cluster.nodes.length; request += 1) {
    t.is((await askNext(crashing)).status, 503);
    const sound = await askNext(["Common text.", "Another text."]);
    t.is(sound.status, 200, sound.text);
  }
});

// Guards against refusing contents because engines ended for other reasons, or
// because streams broke off at engines that still run.
test.serial("a content is not refused for unrelated crashes or lost streams", async (t) => {
  const cluster = await startCluster(t);
  for (const engine of cluster.engines) {
    engine.setFaults({ dropNextStreams: 2, dropStreamAfterTokens: 3 });
  }
  for (let turn = 0; turn < CALLER_ATTEMPTS; turn += 1) {
    const answered = ask(cluster, turn % cluster.nodes.length, "Good text.");
    const engine = cluster.engines[turn % cluster.engines.length];
    if (turn % 3 === 0) engine?.restart();
    await answered;
    await sleep(PAUSE_MILLISECONDS);
  }
  await sleep(1_000);
  for (const node of cluster.nodes.keys()) {
    t.is((await ask(cluster, node, "Good text.")).status, 200);
  }
});
