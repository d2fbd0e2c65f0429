import { RelayCluster } from "@foxtailwind/bench";
import { ProcessClock, type RelayDaemon } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startCluster, until, untilOwned } from "./helpers/cluster.ts";

const SERVED = 200;
/** The requests a second that a server in need names. */
const LIMIT = 3;
/** In so many milliseconds it may get half as many again, and a few. */
const WINDOW_MILLISECONDS = 4_000;
const MOST_IN_WINDOW = 1.5 * LIMIT * WINDOW_MILLISECONDS / 1_000 + 5;
/** The nodes have so long to follow a limit. */
const LEARNING_MILLISECONDS = 3_000;
/** Between two lookups of one node. */
const PAUSE_MILLISECONDS = 50;
/** Between two streams: one engine has slots for those of all four nodes. */
const STREAM_PAUSE_MILLISECONDS = 200;

/** Sends requests at a node until told to stop; gives the statuses. */
async function load(
  node: RelayDaemon,
  send: (node: RelayDaemon) => Promise<{ readonly status: number }>,
  { signal, pause }: { readonly signal: AbortSignal; readonly pause: number },
): Promise<readonly number[]> {
  const statuses: Promise<number>[] = [];
  while (!signal.aborted) {
    statuses.push(send(node).then(({ status }) => status, () => 0));
    await sleep(pause);
  }
  return await Promise.all(statuses);
}

/** The most arrivals in a window, of those after a time. */
function mostInWindow(arrivals: readonly number[], from: number): number {
  const counted = arrivals.filter((at) => at >= from);
  return Math.max(
    0,
    ...counted.map((first) =>
      counted.filter((at) => at >= first && at < first + WINDOW_MILLISECONDS)
        .length
    ),
  );
}

/** Loads all nodes of a cluster for a while with requests of one kind. */
async function loadAll(
  nodes: readonly RelayDaemon[],
  send: (node: RelayDaemon) => Promise<{ readonly status: number }>,
  during: () => Promise<void>,
  pause = PAUSE_MILLISECONDS,
): Promise<readonly number[]> {
  const end = new AbortController();
  const terms = { signal: end.signal, pause };
  const loads = nodes.map((node) => load(node, send, terms));
  await during();
  end.abort();
  return (await Promise.all(loads)).flat();
}

function share(statuses: readonly number[]): number {
  return statuses.filter((status) => status === SERVED).length /
    statuses.length;
}

/** Notes when requests reach the plain server. */
function noteLookups(cluster: RelayCluster): readonly number[] {
  const clock = new ProcessClock();
  const arrivals: number[] = [];
  cluster.onLookup = () => {
    arrivals.push(clock.now());
  };
  return arrivals;
}

async function limitLookups(t: ExecutionContext, nodes: number) {
  const cluster = await startCluster(t, nodes);
  const arrivals = noteLookups(cluster);
  const lookUp = (node: RelayDaemon) => cluster.lookUp(node);
  cluster.lookupLimit = LIMIT;
  const namedAt = new ProcessClock().now();
  return { cluster, arrivals, lookUp, from: namedAt + LEARNING_MILLISECONDS };
}

// Guards against a server in need that gets as many requests as before.
test("a plain server gets no more requests than it names, from all nodes together", async (t) => {
  const { cluster, arrivals, lookUp, from } = await limitLookups(t, 4);
  const statuses = await loadAll(cluster.daemons, lookUp, () => sleep(9_000));
  const most = mostInWindow(arrivals, from);
  t.true(most <= MOST_IN_WINDOW, `${most} in a window`);
  t.true(arrivals.filter((at) => at >= from).length >= LIMIT * 3, "Some come.");
  t.true(share(statuses) < 0.5);
});

// Guards against nodes that know no limit when they start.
test("the limit holds while nodes come and go", async (t) => {
  const { cluster, arrivals, lookUp, from } = await limitLookups(t, 3);
  const [first] = cluster.daemons;
  await loadAll(cluster.daemons, lookUp, async () => {
    await sleep(LEARNING_MILLISECONDS);
    const added = await cluster.addNode("node-4");
    await loadAll([added], lookUp, async () => {
      await sleep(2_000);
      await first?.stop();
      await sleep(3_000);
    });
  });
  const most = mostInWindow(arrivals, from);
  t.true(most <= MOST_IN_WINDOW, `${most} in a window`);
});

// Guards against a limit that outlasts the server's need.
test("a server that names no limit any more gets all requests again", async (t) => {
  const { cluster, lookUp } = await limitLookups(t, 3);
  await loadAll(cluster.daemons, lookUp, () => sleep(4_000));
  cluster.lookupLimit = undefined;
  await loadAll(cluster.daemons, lookUp, () => sleep(4_000));
  const statuses = await loadAll(cluster.daemons, lookUp, () => sleep(1_000));
  t.is(share(statuses), 1);
});

// Guards against an engine in need that gets as many requests as before.
test("an engine gets no more requests than it names, and another one takes the rest", async (t) => {
  const cluster = await RelayCluster.start({ nodes: 4, engines: 2, slots: 8 });
  t.teardown(() => cluster.stop());
  await untilOwned(cluster);
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
  await until(async () => {
    await Promise.all(cluster.daemons.map((node) => generate(node)));
    return arrivals.length > 0;
  });
  limited.requestLimit = LIMIT;
  const from = clock.now() + LEARNING_MILLISECONDS;
  const loadFor = (time: number) =>
    loadAll(
      cluster.daemons,
      generate,
      () => sleep(time),
      STREAM_PAUSE_MILLISECONDS,
    );
  await loadFor(5_000);
  const statuses = await loadFor(WINDOW_MILLISECONDS);
  const most = mostInWindow(arrivals, from);
  t.true(most <= MOST_IN_WINDOW, `${most} in a window`);
  t.true(share(statuses) > 0.95, `${share(statuses)} served`);
});
