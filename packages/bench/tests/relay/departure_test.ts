import { RelayCluster, type StandInEngine } from "@foxtailwind/bench";
import { ProcessClock } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil, waitUntilOwned } from "./helpers/cluster.ts";

const HTTP_OK = 200;
/** Streams that each node is asked for in one round, with other adapters. */
const ROUND = 6;
const BACKOFF_SECONDS = 4;
/** An answer that came this long before a start was known isn't of that start. */
const REGISTRATION_MILLISECONDS = 3_100;
/** A node that is kept from an engine has sent nothing to it for so long. */
const NOTICE_MILLISECONDS = 5_000;
/** The time within which a restarted engine takes part again. */
const RESTART_MILLISECONDS = 10_000;

/** A cluster whose first engine states something in its answers. */
interface NoticedCluster {
  readonly cluster: RelayCluster;
  readonly engine: StandInEngine;
  /** Counts the requests that reached the engine. */
  readonly arrivals: () => number;
  /** Sends a round of requests to each node and returns the statuses. */
  readonly sendRound: (adapters?: string) => Promise<readonly number[]>;
  /**
   * Sends rounds to all nodes at once, until each has had an answer of the
   * engine. The first that hears of its departure gives it up if it owns it,
   * which keeps the others from it.
   */
  readonly sendUntilNoticed: () => Promise<void>;
}

async function startNoticed(t: ExecutionContext): Promise<NoticedCluster> {
  const cluster = await RelayCluster.start({ nodes: 2, engines: 2, slots: 8 });
  t.teardown(() => cluster.stop());
  await waitUntilOwned(cluster);
  const engine = cluster.engines.get("engine-1");
  if (engine === undefined) throw new RangeError("There is no engine.");
  let count = 0;
  const heardPaths = new Set<string>();
  engine.onRequest = (path) => {
    count += 1;
    heardPaths.add(path);
  };
  const pathOf = (node: number) => `/drafts/${node}`;
  const sendRound = async (adapters = "a") => {
    const answers = cluster.daemons.flatMap((daemon, node) =>
      Array.from(
        { length: ROUND },
        (_, index) =>
          cluster.generate(daemon, `${adapters}${index}`, pathOf(node)),
      )
    );
    return (await Promise.all(answers)).map(({ status }) => status);
  };
  const clock = new ProcessClock();
  return {
    cluster,
    engine,
    arrivals: () => count,
    sendRound,
    sendUntilNoticed: async () => {
      heardPaths.clear();
      const begunAt = clock.now();
      await waitUntil(async () => {
        await sendRound();
        const isOver = clock.now() > begunAt + NOTICE_MILLISECONDS;
        return heardPaths.size === cluster.daemons.length ||
          (isOver && heardPaths.size > 0);
      });
    },
  };
}

/** Sends rounds with new adapters until the engine has a request again. */
async function waitUntilUsed(
  { arrivals, sendRound }: NoticedCluster,
): Promise<boolean> {
  const clock = new ProcessClock();
  const deadline = clock.now() + RESTART_MILLISECONDS;
  const before = arrivals();
  let round = 0;
  while (arrivals() === before && clock.now() < deadline) {
    round += 1;
    await sendRound(`round-${round}-`);
    await sleep(50);
  }
  return arrivals() > before;
}

// Guards against nodes that wait for the store to announce a departure.
test("an engine that announces its departure gets no requests while the store is silent", async (t) => {
  const world = await startNoticed(t);
  const { cluster, engine, arrivals, sendRound, sendUntilNoticed } = world;
  await sendUntilNoticed();
  cluster.store.isUp = false;
  engine.notice = { isLeaving: true };
  await sendUntilNoticed();
  const before = arrivals();
  for (let round = 0; round < 4; round += 1) {
    const statuses = await sendRound();
    t.true(statuses.includes(HTTP_OK), "The other engine serves.");
    await sleep(100);
  }
  t.is(arrivals(), before);
});

// Guards against a departure that outlives the start that announced it.
test("an engine that restarts under its id after announcing its departure gets requests again", async (t) => {
  const world = await startNoticed(t);
  const { cluster, engine, arrivals, sendRound, sendUntilNoticed } = world;
  engine.notice = { isLeaving: true };
  await sendUntilNoticed();
  const before = arrivals();
  cluster.register(engine.id);
  await sendRound();
  t.is(arrivals(), before, "A late entry of the same start changes nothing.");
  cluster.restart(engine.id);
  t.true(await waitUntilUsed(world));
});

// Guards against nodes that go on sending to an engine that asked for a backoff.
test("an engine that asks for a backoff gets no requests until it ends", async (t) => {
  const world = await startNoticed(t);
  const { engine, arrivals, sendRound, sendUntilNoticed } = world;
  await sendUntilNoticed();
  const clock = new ProcessClock();
  engine.notice = { retryAfterSeconds: BACKOFF_SECONDS };
  const askedAt = clock.now();
  await sendUntilNoticed();
  engine.notice = {};
  const before = arrivals();
  while (clock.now() < askedAt + (BACKOFF_SECONDS - 0.5) * 1_000) {
    await sendRound();
    await sleep(100);
  }
  t.is(arrivals(), before);
  t.true(await waitUntilUsed(world));
});

test("a backoff ends with the start of the engine that asked for it", async (t) => {
  const world = await startNoticed(t);
  const { cluster, engine, sendUntilNoticed } = world;
  await sendUntilNoticed();
  engine.notice = { retryAfterSeconds: 60 };
  await sendUntilNoticed();
  await sleep(REGISTRATION_MILLISECONDS);
  cluster.restart(engine.id);
  t.true(await waitUntilUsed(world));
});
