import {
  RelayCluster,
  type StandInEngine,
  type StreamPart,
} from "@foxtailwind/bench";
import test, { type ExecutionContext } from "ava";
import {
  EVENTS_PER_STREAM,
  getNode,
  waitUntil,
  waitUntilOwned,
} from "./helpers/cluster.ts";

const STREAMS = 6;

async function startMixed(t: ExecutionContext): Promise<RelayCluster> {
  const cluster = await RelayCluster.start({
    nodes: 3,
    engines: 6,
    slots: 12,
    software: ["1", "2"],
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
  const cluster = await startMixed(t);
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
  const cluster = await startMixed(t);
  const begun = await beginStream(cluster, 0, "a0");
  await getNode(cluster, 0).stop();
  for (const node of [1, 2]) {
    const resumed = await resumeStream(cluster, node, "a0", begun);
    t.is(begun.events.length + resumed.events.length, EVENTS_PER_STREAM);
    t.is(softwareOf(begun, resumed).length, 1);
  }
});
