import test, { type ExecutionContext } from "ava";
import {
  InProcessCluster,
  type InProcessClusterSize,
  type InProcessNode,
} from "@foxtailwind/bench";
import { classId, CONFIGURATION_STREAM, logOffset } from "@foxtailwind/core";
import { request } from "undici";

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

async function startCluster(
  t: ExecutionContext,
  size: InProcessClusterSize,
): Promise<InProcessCluster> {
  const cluster = await InProcessCluster.start(size);
  t.teardown(() => cluster.stop());
  return cluster;
}

async function call(node: InProcessNode, path: string, body?: object) {
  const url = `http://${node.addresses.http}/v1/operators/${path}`;
  const answer = await request(url, {
    method: body === undefined ? "GET" : "POST",
    ...(body !== undefined && {
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    }),
  });
  const parsed: unknown = await answer.body.json();
  return { status: answer.statusCode, body: parsed } satisfies Answer;
}

function publish(node: InProcessNode, milliseconds: number, more: object = {}) {
  return call(node, "configuration", {
    changes: [{
      kind: "set_class",
      class: "drafting",
      target: { firstTokenMilliseconds: milliseconds },
    }],
    ...more,
  });
}

/** Returns how many records were ever appended to the configuration stream. */
async function countAppended(node: InProcessNode): Promise<number> {
  const page = await node.daemon.log.read(CONFIGURATION_STREAM, {
    from: logOffset(0),
    limit: 1,
    waitMilliseconds: 0,
  });
  return page._unsafeUnwrap().tail;
}

function targetAt(node: InProcessNode): number | undefined {
  return node.daemon.follower.configuration.classes.get(classId("drafting"))
    ?.firstTokenMilliseconds;
}

const MAXIMUM_POLLS = 3_000;

async function until(condition: () => boolean): Promise<void> {
  for (let poll = 0; poll < MAXIMUM_POLLS; poll += 1) {
    if (condition()) return;
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  throw new Error(`The condition was not met after ${MAXIMUM_POLLS} polls`);
}

function firstNode(cluster: InProcessCluster): InProcessNode {
  const [node] = cluster.nodes;
  if (node === undefined) throw new Error("The cluster has no node");
  return node;
}

test("an accepted change is in force at every node", async (t) => {
  const cluster = await startCluster(t, { nodes: 5, domains: 2 });
  t.is((await publish(firstNode(cluster), 700)).status, 200);
  await until(() => cluster.nodes.every((node) => targetAt(node) === 700));
  t.pass();
});

test("a change whose append answer is lost is accepted once", async (t) => {
  const cluster = await startCluster(t, { nodes: 1, domains: 1 });
  const node = firstNode(cluster);
  cluster.log.setFaults({ loseAppendAnswerProbability: 1 });
  const lost = await publish(node, 700, { id: "lost", base: -1 });
  t.like(lost.body, { outcome: "unknown" });
  cluster.log.setFaults({ loseAppendAnswerProbability: 0 });
  const again = await publish(node, 700, { id: "lost", base: -1 });
  t.like(again.body, { id: "lost", offset: 0, repeated: true });
  t.true(await countAppended(node) > 1);
  const history = await call(node, "configuration/history");
  t.like(history.body, { changes: [{ id: "lost", verdict: "accepted" }] });
});

test("of two operators who race, the loser is told who won", async (t) => {
  const cluster = await startCluster(t, { nodes: 2, domains: 1 });
  const [left, right] = cluster.nodes;
  if (left === undefined || right === undefined) return;
  const won = await publish(left, 700, { id: "a", author: "mere", base: -1 });
  const lost = await publish(right, 900, { id: "b", author: "arif", base: -1 });
  t.is(won.status, 200);
  t.snapshot(lost);
});

test("during a log outage accepted changes stay and new ones are refused", async (t) => {
  const cluster = await startCluster(t, { nodes: 1, domains: 1 });
  await publish(firstNode(cluster), 700);
  cluster.log.setFaults({ outage: "refuse" });
  const refused = await publish(firstNode(cluster), 900);
  t.is(refused.status, 503);
  t.like(refused.body, { outcome: "not_run" });
  t.is(targetAt(firstNode(cluster)), 700);
});

test("a node that starts in a log outage gets the state from a peer", async (t) => {
  const cluster = await startCluster(t, { nodes: 2, domains: 2 });
  await publish(firstNode(cluster), 700);
  cluster.log.setFaults({ outage: "drop" });
  const late = await cluster.startNode("node-late", "domain-3");
  await until(() => targetAt(late) === 700);
  const { offset, digest } = firstNode(cluster).daemon.follower.configuration;
  t.is(late.daemon.follower.configuration.offset, offset);
  t.is(late.daemon.follower.configuration.digest, digest);
});

test("a node that cannot reach the log gets changes from a peer", async (t) => {
  const cluster = await startCluster(t, { nodes: 2, domains: 2 });
  const isolated = await cluster.startNode("node-cut", "domain-3", {
    log: "http://127.0.0.1:1",
  });
  await publish(firstNode(cluster), 700);
  await until(() => targetAt(isolated) === 700);
  await publish(firstNode(cluster), 900);
  await until(() => targetAt(isolated) === 900);
  t.not(isolated.daemon.follower.source, "log");
});

test("a node reads a snapshot if the log dropped its first records", async (t) => {
  const cluster = await startCluster(t, {
    nodes: 1,
    domains: 1,
    log: { retainRecords: 3 },
  });
  const [writer] = cluster.nodes;
  if (writer === undefined) return;
  for (let change = 1; change <= 5; change += 1) {
    await publish(writer, change);
  }
  await until(() =>
    writer.daemon.follower.store.reader.lastManifest !== undefined
  );
  await cluster.stopNode(writer.id);
  const late = await cluster.startNode("node-late", "domain-1");
  await until(() => targetAt(late) === 5);
  t.is(late.daemon.follower.source, "log");
});

test("when the domain's reader stops, the others still get changes", async (t) => {
  const cluster = await startCluster(t, { nodes: 4, domains: 1 });
  const isReader = (node: InProcessNode) =>
    node.daemon.follower.source === "log";
  await until(() => cluster.nodes.filter(isReader).length === 1);
  const reader = cluster.nodes.find(isReader);
  await cluster.stopNode(reader?.id ?? "");
  await publish(firstNode(cluster), 700);
  await until(() => cluster.nodes.every((node) => targetAt(node) === 700));
  t.is(cluster.nodes.length, 3);
});

test("status names corrupt records, halted and unreachable nodes", async (t) => {
  const cluster = await startCluster(t, { nodes: 2, domains: 2 });
  const node = firstNode(cluster);
  await node.daemon.log.append(CONFIGURATION_STREAM, ["{"]);
  await publish(node, 700);
  await node.daemon.log.append(CONFIGURATION_STREAM, [`{"format":2}`]);
  await until(() =>
    cluster.nodes.every(({ daemon }) =>
      daemon.follower.store.reader.halt !== undefined &&
      daemon.follower.source === "log"
    )
  );
  cluster.vmList.setVm({
    ...listedVm(cluster, node),
    id: "node-gone",
    peerAddress: "127.0.0.1:1",
  });
  await node.daemon.directory.refresh();
  t.snapshot(await call(node, "configuration/status"));
  t.snapshot(await publish(node, 900, { id: "halted", base: 0 }));
  t.is(targetAt(node), 700);
});

test("a halted node no longer follows a peer", async (t) => {
  const cluster = await startCluster(t, { nodes: 2, domains: 1 });
  await until(() =>
    cluster.nodes.some(({ daemon }) => daemon.follower.source !== "log")
  );
  await firstNode(cluster).daemon.log.append(CONFIGURATION_STREAM, [
    `{"format":2}`,
  ]);
  await until(() =>
    cluster.nodes.every(({ daemon }) =>
      daemon.follower.store.reader.halt !== undefined
    )
  );
  await until(() =>
    cluster.nodes.every(({ daemon }) => daemon.follower.source === "log")
  );
  t.pass();
});

test("a node that a late log answer halts stops following its peer", async (t) => {
  const cluster = await startCluster(t, { nodes: 2, domains: 2 });
  cluster.log.setFaults({ outage: "hang" });
  await until(() =>
    cluster.nodes.every(({ daemon }) => daemon.follower.source !== "log")
  );
  cluster.log.setFaults({ outage: "none" });
  await firstNode(cluster).daemon.log.append(CONFIGURATION_STREAM, [
    `{"format":2}`,
  ]);
  await until(() =>
    cluster.nodes.every(({ daemon }) =>
      daemon.follower.store.reader.halt !== undefined &&
      daemon.follower.source === "log"
    )
  );
  t.pass();
});

test("what cannot be published is refused with the key and the remedy", async (t) => {
  const cluster = await startCluster(t, { nodes: 1, domains: 1 });
  const node = firstNode(cluster);
  const bodies = [
    {},
    { changes: [] },
    { changes: [{ kind: "set_weight", engine: "e", weight: 3 }] },
    { changes: [{ kind: "set_class", class: "a b", target: {} }], weight: 1 },
    { changes: [{ kind: "remove_class", class: "missing" }] },
    { id: "a", changes: [{ kind: "set_tenant", tenant: "a" }] },
    { changes: [{ kind: "set_tenant", tenant: "a", weight: 3 }] },
  ];
  for (const body of bodies) {
    t.snapshot(await call(node, "configuration", body));
  }
  t.is(await countAppended(node), 0);
});

test("single items are set and removed by their own paths", async (t) => {
  const cluster = await startCluster(t, { nodes: 1, domains: 1 });
  const node = firstNode(cluster);
  const url = `http://${node.addresses.http}/v1/operators`;
  const headers = { "content-type": "application/json" };
  const set = await request(`${url}/classes/drafting`, {
    method: "PUT",
    headers,
    body: JSON.stringify({
      target: { firstTokenMilliseconds: 700 },
      author: "mere",
    }),
  });
  t.is(set.statusCode, 200);
  t.is(targetAt(node), 700);
  const removed = await request(`${url}/classes/drafting`, {
    method: "DELETE",
  });
  t.is(removed.statusCode, 200);
  t.is(targetAt(node), undefined);
  const unknown = await request(`${url}/engines/e`, { method: "DELETE" });
  t.is(unknown.statusCode, 404);
});

function listedVm(cluster: InProcessCluster, node: InProcessNode) {
  const vm = cluster.vmList.readVisible(performance.now()).find(({ id }) =>
    id === node.id
  );
  if (vm === undefined) throw new Error("The node is not listed");
  return vm;
}
