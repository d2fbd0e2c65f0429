import { RelayCluster } from "@foxtailwind/bench";
import { ProcessClock, type RelayDaemon } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startCluster, waitUntil, waitUntilOwned } from "./helpers/cluster.ts";

const HTTP_OK = 200;
/** The requests per second that an overloaded server names. */
const REQUESTS_PER_SECOND = 3;
/** The length of the window in which arrivals are counted. */
const WINDOW_MILLISECONDS = 4_000;
/** The limit may be exceeded by half, plus a few requests. */
const MAX_IN_WINDOW = 1.5 * REQUESTS_PER_SECOND * WINDOW_MILLISECONDS / 1_000 +
  5;
/** The time that nodes have to apply a limit. */
const PROPAGATION_MILLISECONDS = 3_000;
/** The interval between two lookups at one node. */
const LOOKUP_INTERVAL_MILLISECONDS = 50;
/** At this interval, one engine has slots for the streams of all four nodes. */
const STREAM_INTERVAL_MILLISECONDS = 200;

/** Sends requests to a node until aborted and returns the statuses. */
async function sendUntilAborted(
  node: RelayDaemon,
  send: (node: RelayDaemon) => Promise<{ readonly status: number }>,
  { signal, interval }: {
    readonly signal: AbortSignal;
    readonly interval: number;
  },
): Promise<readonly number[]> {
  const statuses: Promise<number>[] = [];
  while (!signal.aborted) {
    statuses.push(send(node).then(({ status }) => status, () => 0));
    await sleep(interval);
  }
  return await Promise.all(statuses);
}

/** Returns the most arrivals in any window that starts at or after a time. */
function maxArrivalsInWindow(
  arrivals: readonly number[],
  from: number,
): number {
  const laterArrivals = arrivals.filter((at) => at >= from);
  return Math.max(
    0,
    ...laterArrivals.map((first) =>
      laterArrivals.filter((at) =>
        at >= first && at < first + WINDOW_MILLISECONDS
      )
        .length
    ),
  );
}

/** Sends requests to all nodes until a task ends and returns the statuses. */
async function loadNodes(
  nodes: readonly RelayDaemon[],
  send: (node: RelayDaemon) => Promise<{ readonly status: number }>,
  task: () => Promise<void>,
  interval = LOOKUP_INTERVAL_MILLISECONDS,
): Promise<readonly number[]> {
  const controller = new AbortController();
  const options = { signal: controller.signal, interval };
  const loads = nodes.map((node) => sendUntilAborted(node, send, options));
  await task();
  controller.abort();
  return (await Promise.all(loads)).flat();
}

function servedShare(statuses: readonly number[]): number {
  return statuses.filter((status) => status === HTTP_OK).length /
    statuses.length;
}

/** Records when requests reach the lookup server. */
function recordLookups(cluster: RelayCluster): readonly number[] {
  const clock = new ProcessClock();
  const arrivals: number[] = [];
  cluster.onLookup = () => {
    arrivals.push(clock.now());
  };
  return arrivals;
}

async function startLimitedCluster(t: ExecutionContext, nodes: number) {
  const cluster = await startCluster(t, nodes);
  const arrivals = recordLookups(cluster);
  const lookUp = (node: RelayDaemon) => cluster.lookUp(node);
  cluster.lookupLimit = REQUESTS_PER_SECOND;
  const limitedAt = new ProcessClock().now();
  return {
    cluster,
    arrivals,
    lookUp,
    from: limitedAt + PROPAGATION_MILLISECONDS,
  };
}

// Guards against an overloaded server that gets as many requests as before.
test("a lookup server gets no more requests than its limit from all nodes together", async (t) => {
  const { cluster, arrivals, lookUp, from } = await startLimitedCluster(t, 4);
  const statuses = await loadNodes(cluster.daemons, lookUp, () => sleep(9_000));
  const most = maxArrivalsInWindow(arrivals, from);
  t.true(most <= MAX_IN_WINDOW, `${most} in a window`);
  t.true(
    arrivals.filter((at) => at >= from).length >= REQUESTS_PER_SECOND * 3,
    "Some requests still arrive.",
  );
  t.true(servedShare(statuses) < 0.5);
});

// Guards against nodes that don't know the limit when they start.
test("the limit holds while nodes start and stop", async (t) => {
  const { cluster, arrivals, lookUp, from } = await startLimitedCluster(t, 3);
  const [first] = cluster.daemons;
  await loadNodes(cluster.daemons, lookUp, async () => {
    await sleep(PROPAGATION_MILLISECONDS);
    const added = await cluster.addNode("node-4");
    await loadNodes([added], lookUp, async () => {
      await sleep(2_000);
      await first?.stop();
      await sleep(3_000);
    });
  });
  const most = maxArrivalsInWindow(arrivals, from);
  t.true(most <= MAX_IN_WINDOW, `${most} in a window`);
});

// Guards against a limit that stays in force after the overload.
test("a server that no longer names a limit gets all requests again", async (t) => {
  const { cluster, lookUp } = await startLimitedCluster(t, 3);
  await loadNodes(cluster.daemons, lookUp, () => sleep(4_000));
  cluster.lookupLimit = undefined;
  await loadNodes(cluster.daemons, lookUp, () => sleep(4_000));
  const statuses = await loadNodes(cluster.daemons, lookUp, () => sleep(1_000));
  t.is(servedShare(statuses), 1);
});

// Guards against an overloaded engine that gets as many requests as before.
test("an engine gets no more requests than its limit, and another serves the rest", async (t) => {
  const cluster = await RelayCluster.start({ nodes: 4, engines: 2, slots: 8 });
  t.teardown(() => cluster.stop());
  await waitUntilOwned(cluster);
  const clock = new ProcessClock();
  const [limited] = cluster.engines.values();
  if (limited === undefined) throw new RangeError("There is no engine.");
  const arrivals: number[] = [];
  limited.onRequest = () => {
    arrivals.push(clock.now());
  };
  let sent = 0;
  const generate = (node: RelayDaemon) => {
    sent += 1;
    return cluster.generate(node, `a${sent % 6}`);
  };
  await waitUntil(async () => {
    await Promise.all(cluster.daemons.map((node) => generate(node)));
    return arrivals.length > 0;
  });
  limited.requestLimit = REQUESTS_PER_SECOND;
  const from = clock.now() + PROPAGATION_MILLISECONDS;
  const loadFor = (time: number) =>
    loadNodes(
      cluster.daemons,
      generate,
      () => sleep(time),
      STREAM_INTERVAL_MILLISECONDS,
    );
  await loadFor(5_000);
  const statuses = await loadFor(WINDOW_MILLISECONDS);
  const most = maxArrivalsInWindow(arrivals, from);
  t.true(most <= MAX_IN_WINDOW, `${most} in a window`);
  t.true(servedShare(statuses) > 0.95, `${servedShare(statuses)} served`);
});
