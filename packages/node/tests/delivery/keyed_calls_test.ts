import type { FakePlainService } from "@foxtailwind/standins";
import test from "ava";
import * as z from "zod";
import {
  startTestCluster,
  type TestCluster,
  until,
} from "../helpers/test_cluster.ts";

const PATH = "/v1/services/booking/slots/7";
const SLOW_MILLISECONDS = 300;

const SIZE = {
  nodes: 3,
  engines: 0,
  services: ["booking"],
  settings: { addresses: { lifetime_seconds: 0.05 } },
} as const;

const problemSchema = z.object({ outcome: z.string(), detail: z.string() });
const addressesSchema = z.object({ key_scope: z.string() });

let shared: TestCluster | undefined;

test.before(async () => {
  shared = await startTestCluster(SIZE);
});

test.after.always(async () => {
  await shared?.close();
});

function getCluster(): TestCluster {
  if (shared === undefined) throw new Error("No cluster runs");
  return shared;
}

async function book(
  url: string,
  key: string,
  body = "{}",
): Promise<{ readonly status: number; readonly text: string }> {
  const answer = await fetch(`${url}${PATH}`, {
    method: "POST",
    headers: { "idempotency-key": key, "content-type": "application/json" },
    body,
  });
  return { status: answer.status, text: await answer.text() };
}

async function scopeOf(url: string): Promise<string> {
  const answer = await fetch(`${url}/v1/addresses`);
  return addressesSchema.parse(await answer.json()).key_scope;
}

function service(cluster: TestCluster): FakePlainService {
  const [server] = cluster.services;
  if (server === undefined) throw new Error("No service runs");
  return server;
}

function runsOf(cluster: TestCluster, key: string): number {
  return service(cluster).readCounters().runsByKey[key] ?? 0;
}

function outcomeOf(text: string): string {
  return problemSchema.parse(JSON.parse(text)).outcome;
}

for (const kind of ["free", "bound"] as const) {
  const keyAt = async (url: string, own: string): Promise<string> =>
    kind === "free" ? own : `${await scopeOf(url)}${own}`;

  test.serial(`a ${kind} key's retry at another node waits for the first run`, async (t) => {
    const cluster = getCluster();
    const server = service(cluster);
    server.setFaults({ delayMilliseconds: SLOW_MILLISECONDS });
    const key = await keyAt(cluster.url(0), "booking-1");
    const answers = await Promise.all([
      book(cluster.url(0), key),
      book(cluster.url(1), key),
      book(cluster.url(2), key),
      book(cluster.url(1), key),
    ]);
    server.setFaults({ delayMilliseconds: 0 });
    t.deepEqual(
      answers.map(({ text }) => text).filter((text) => text.includes("urn:")),
      [],
    );
    t.is(new Set(answers.map(({ text }) => text)).size, 1);
    t.is(runsOf(cluster, key), 1);
  });

  test.serial(`a ${kind} key's retry after the answer gets the same answer`, async (t) => {
    const cluster = getCluster();
    const key = await keyAt(cluster.url(0), "booking-2");
    const first = await book(cluster.url(0), key);
    const again = await book(cluster.url(2), key);
    t.deepEqual(again, first);
    t.is(runsOf(cluster, key), 1);
  });

  test.serial(`a ${kind} key's outcome is unknown once its node is gone`, async (t) => {
    const cluster = await startTestCluster(SIZE);
    t.teardown(() => cluster.close());
    const key = await keyAt(cluster.url(0), "booking-3");
    t.is((await book(cluster.url(0), key)).status, 200);
    await cluster.nodes[0]?.daemon.stop();
    const again = await book(cluster.url(1), key);
    t.is(outcomeOf(again.text), "unknown");
    t.is(runsOf(cluster, key), 1);
  });

  test.serial(`a ${kind} key with another body is refused as not run`, async (t) => {
    const cluster = getCluster();
    const key = await keyAt(cluster.url(0), "booking-4");
    await book(cluster.url(0), key, '{"slot":1}');
    const other = await book(cluster.url(1), key, '{"slot":2}');
    t.is(other.status, 409);
    t.is(outcomeOf(other.text), "not_run");
    t.is(runsOf(cluster, key), 1);
  });

  test.serial(`a ${kind} key whose answer was lost keeps an unknown outcome`, async (t) => {
    const cluster = getCluster();
    const server = service(cluster);
    server.setFaults({ loseNextAnswers: 1 });
    const key = await keyAt(cluster.url(0), "booking-5");
    for (const node of [0, 1, 0]) {
      const answer = await book(cluster.url(node), key);
      t.is(outcomeOf(answer.text), "unknown");
    }
    server.setFaults({ loseNextAnswers: 0 });
    t.is(runsOf(cluster, key), 1);
  });
}

test.serial("a run that the service states as not run frees its key", async (t) => {
  const cluster = getCluster();
  const server = service(cluster);
  const key = "booking-refused";
  server.setFaults({ refuseNextCalls: 1_000 });
  const first = await book(cluster.url(0), key);
  server.setFaults({ refuseNextCalls: 0 });
  const again = await book(cluster.url(1), key);
  t.is(outcomeOf(first.text), "not_run");
  t.is(again.status, 200);
  t.is(runsOf(cluster, key), 1);
});

test.serial("a claim whose append answer is lost is settled by reading", async (t) => {
  const cluster = getCluster();
  const key = "booking-lost-append";
  cluster.log.setFaults({ loseNextAppendAnswers: 1 });
  t.is((await book(cluster.url(0), key)).status, 200);
  t.is((await book(cluster.url(1), key)).status, 200);
  t.is(runsOf(cluster, key), 1);
  t.is(cluster.log.readCounters().answersLost, 1);
});

test.serial("during a log outage bound keys run and free keys do not", async (t) => {
  const cluster = getCluster();
  const key = "booking-outage";
  cluster.log.setFaults({ outage: "refuse" });
  const free = await book(cluster.url(0), key);
  t.is(outcomeOf(free.text), "not_run");
  const bound = `${await scopeOf(cluster.url(0))}booking-outage`;
  t.is((await book(cluster.url(1), bound)).status, 200);
  cluster.log.setFaults({ outage: "none" });
  t.is((await book(cluster.url(1), key)).status, 200);
  t.deepEqual([runsOf(cluster, key), runsOf(cluster, bound)], [1, 1]);
});

test.serial("a key is still usable after the append of its claim was lost", async (t) => {
  const cluster = getCluster();
  const key = "booking-dropped-append";
  cluster.log.setFaults({ dropNextAppends: 1 });
  const first = book(cluster.url(0), key);
  await until(() => cluster.log.faults.dropNextAppends === 0);
  const second = await book(cluster.url(1), key);
  t.is(second.status, 200);
  const { status, text } = await first;
  t.true(status === 200 || outcomeOf(text) === "not_run");
  t.is(runsOf(cluster, key), 1);
});
