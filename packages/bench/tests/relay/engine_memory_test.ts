import { RelayCluster } from "@foxtailwind/bench";
import { adapterId } from "@foxtailwind/core";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  EVENTS_PER_STREAM,
  getNode,
  waitUntilOwned,
} from "./helpers/cluster.ts";

const LARGE_VERSION = 202_612_041_630;

// Guards against engines that are ordered to hold more than their memory does,
// and crash again and again while many adapters are asked for.
test("more adapters than memory holds are served in turn without overfilling an engine", async (t) => {
  const cluster = await RelayCluster.start({
    nodes: 2,
    engines: 2,
    slots: 6,
    memoryAdapters: 3,
  });
  t.teardown(() => cluster.stop());
  await waitUntilOwned(cluster);
  const node = getNode(cluster, 0);
  const generate = async (adapter: string) => {
    let answer = await cluster.generate(node, adapter);
    while (answer.status === 503) {
      await sleep(50);
      answer = await cluster.generate(node, adapter);
    }
    return answer.body.split(`data: ${adapter}\n`).length - 1;
  };
  const adapters = Array.from({ length: 12 }, (_, index) => `a${index}`);
  const served = await Promise.all(adapters.map(generate));
  t.deepEqual(served, adapters.map(() => EVENTS_PER_STREAM));
  for (const adapter of adapters.slice(0, 4)) {
    cluster.store.setVersion(adapterId(adapter), LARGE_VERSION);
    t.is(await generate(adapter), EVENTS_PER_STREAM);
  }
  for (const { adapters: state } of cluster.engines.values()) {
    t.false(state.hasExceededMemory);
  }
});

test("an adapter that fits on no engine is refused at once", async (t) => {
  const lines: string[] = [];
  const cluster = await RelayCluster.start({
    nodes: 1,
    engines: 1,
    slots: 3,
    memoryAdapters: 0,
    onLogLine: (_node, line) => lines.push(line),
  });
  t.teardown(() => cluster.stop());
  await waitUntilOwned(cluster);
  const before = performance.now();
  const { status } = await cluster.generate(getNode(cluster, 0), "a1");
  t.is(status, 503);
  t.true(performance.now() - before < 2_000);
  const [engine] = cluster.engines.values();
  t.is(engine?.adapters.loadedAdapters.size, 0);
  t.true(lines.some((line) => line.includes("doesn't fit on an engine")));
});
