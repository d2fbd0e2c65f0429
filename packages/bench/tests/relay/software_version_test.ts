import {
  RelayCluster,
  type StandInEngine,
  type StreamPart,
} from "@foxtailwind/bench";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  EVENTS_PER_STREAM,
  getNode,
  waitUntil,
  waitUntilOwned,
} from "./helpers/cluster.ts";

const STREAMS = 6;
/** Within it, nodes have written to the log what began streams. */
const LOG_WRITE_MILLISECONDS = 500;

/** Starts a cluster whose engines run several software versions, in turn. */
async function start(
  t: ExecutionContext,
  software: readonly string[],
): Promise<RelayCluster> {
  const cluster = await RelayCluster.start({
    nodes: 3,
    engines: 6,
    slots: 12,
    software,
  });
  t.teardown(() => cluster.stop());
  await waitUntilOwned(cluster);
  return cluster;
}

/** Finds the engine that runs a request. */
function engineOf(cluster: RelayCluster, request: string): StandInEngine {
  const engine = [...cluster.engines.values()].find(({ runs }) =>
    runs.includes(request)
  );
  if (engine === undefined) throw new RangeError(`Nobody ran ${request}.`);
  return engine;
}

/** Begins a stream that the caller leaves after its second event. */
async function beginStream(
  cluster: RelayCluster,
  node: number,
  adapter: string,
): Promise<StreamPart> {
  let begun: StreamPart | undefined;
  await waitUntil(async () => {
    begun = await cluster.stream(getNode(cluster, node), adapter, { limit: 2 });
    return begun.status === 200;
  });
  return begun as StreamPart;
}

/** Resumes a stream until that is not refused. */
async function resumeStream(
  cluster: RelayCluster,
  node: number,
  adapter: string,
  begun: StreamPart,
): Promise<StreamPart> {
  let resumed: StreamPart | undefined;
  await waitUntil(async () => {
    resumed = await cluster.stream(getNode(cluster, node), adapter, {
      resumes: {
        attempt: begun.attempt,
        lastEvent: begun.events.at(-1)?.id ?? 0,
      },
    });
    return resumed.status === 200;
  });
  return resumed as StreamPart;
}

function softwareOf(...parts: readonly StreamPart[]): readonly string[] {
  const events = parts.flatMap((part) => part.events);
  return [...new Set(events.map(({ software }) => software))];
}

// Guards against streams that hold events of two software versions because a
// caller resumes them at another node than the one that began them.
test("a stream resumed at another node goes on at the software version that began it", async (t) => {
  const cluster = await start(t, ["1", "2"]);
  for (let index = 0; index < STREAMS; index += 1) {
    const adapter = `a${index}`;
    const begun = await beginStream(cluster, 0, adapter);
    const { id } = engineOf(cluster, begun.attempt);
    cluster.markLeaving(id);
    const resumed = await resumeStream(cluster, 1, adapter, begun);
    t.is(begun.events.length + resumed.events.length, EVENTS_PER_STREAM);
    t.is(softwareOf(begun, resumed).length, 1, adapter);
    cluster.restart(id);
  }
});

// Guards against streams that can't go on once the node that began them is gone.
test("a stream whose node has stopped goes on at another one", async (t) => {
  const cluster = await start(t, ["1", "2"]);
  const begun = await beginStream(cluster, 0, "a0");
  await getNode(cluster, 0).stop();
  for (const node of [1, 2]) {
    const resumed = await resumeStream(cluster, node, "a0", begun);
    t.is(begun.events.length + resumed.events.length, EVENTS_PER_STREAM);
    t.is(softwareOf(begun, resumed).length, 1);
  }
});

/** Begins streams at all nodes, and gives the nodes time to write the log. */
async function beginStreams(
  cluster: RelayCluster,
): Promise<readonly StreamPart[]> {
  const parts: StreamPart[] = [];
  for (let index = 0; index < STREAMS; index += 1) {
    const node = index % cluster.daemons.length;
    parts.push(await beginStream(cluster, node, `a${index}`));
  }
  await sleep(LOG_WRITE_MILLISECONDS);
  return parts;
}

// Guards against streams that nobody continues after all nodes have lost power.
test("streams of the only software version go on after all nodes were lost", async (t) => {
  const cluster = await start(t, ["1"]);
  const parts = await beginStreams(cluster);
  await cluster.replaceNodes();
  for (const [index, begun] of parts.entries()) {
    const resumed = await resumeStream(cluster, 1, `a${index}`, begun);
    t.is(begun.events.length + resumed.events.length, EVENTS_PER_STREAM);
  }
});

test("streams of two software versions go on at their own after all nodes were lost", async (t) => {
  const cluster = await start(t, ["1", "2"]);
  const parts = await beginStreams(cluster);
  t.is(softwareOf(...parts).length, 2);
  await cluster.replaceNodes();
  for (const [index, begun] of parts.entries()) {
    const resumed = await resumeStream(cluster, 1, `a${index}`, begun);
    t.is(begun.events.length + resumed.events.length, EVENTS_PER_STREAM);
    t.is(softwareOf(begun, resumed).length, 1);
  }
});

// Guards against streams that are joined from two software versions: the servers
// of the old one have just left when all nodes are lost.
test("no stream goes on at another software version after all nodes were lost", async (t) => {
  const cluster = await start(t, ["1"]);
  const [begun] = await beginStreams(cluster);
  for (const id of cluster.engines.keys()) {
    cluster.restart(id, { software: "2" });
  }
  await cluster.replaceNodes();
  await waitUntil(async () => {
    const { status } = await cluster.stream(getNode(cluster, 0), "a0");
    return status === 200;
  });
  const lastEvent = begun?.events.at(-1)?.id ?? 0;
  for (const attempt of [begun?.attempt, undefined, "x"]) {
    const { status, events } = await cluster.stream(
      getNode(cluster, 0),
      "a0",
      { resumes: { ...(attempt === undefined ? {} : { attempt }), lastEvent } },
    );
    t.deepEqual({ status, events }, { status: 503, events: [] });
  }
});
