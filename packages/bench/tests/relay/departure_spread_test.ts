import { RelayCluster } from "@foxtailwind/bench";
import { RELAY_SENTENCE } from "@foxtailwind/core";
import { ProcessClock } from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "./helpers/cluster.ts";

/** More nodes than read the registry often. */
const NODES = 16;
/** The time within which a departure has to be known. */
const BOUND_MILLISECONDS = 3_000;
const LEAVING_SERVER = "engine-1";

// Guards against nodes that hear of departures only from the two nodes that
// read the registry often.
test("nodes learn of a departure in time while the nodes that watch the registry read nothing", async (t) => {
  const heard = new Set<string>();
  const cluster = await RelayCluster.start({
    nodes: NODES,
    engines: 2,
    slots: 4,
    registersServersLast: true,
    pacesRegistryReads: true,
    onLogLine: (node, line) => {
      if (!line.includes(RELAY_SENTENCE.serverLeaves)) return;
      if (line.includes(LEAVING_SERVER)) heard.add(node);
    },
  });
  t.teardown(() => cluster.stop());
  await waitUntil(() =>
    cluster.logs.filter(({ isWatcher }) => isWatcher).length === 2
  );
  // All nodes have just read the registry, as after a common start.
  for (const log of cluster.logs) log.readRegistry();
  for (const log of cluster.logs) log.isSilent = log.isWatcher;
  cluster.markLeaving(LEAVING_SERVER);
  const clock = new ProcessClock();
  const deadline = clock.now() + BOUND_MILLISECONDS;
  while (heard.size < NODES && clock.now() < deadline) await sleep(20);
  t.is(heard.size, NODES);
});
