import { logOffset } from "@foxtailwind/core";
import test from "ava";
import { startLogService } from "../helpers/start_stand_ins.ts";

const READ_FROM_START = {
  from: logOffset(0),
  limit: 10,
  waitMilliseconds: 0,
} as const;

test("records get consecutive offsets in each stream", async (t) => {
  const { client } = await startLogService(t);
  t.is((await client.append("s", ["a", "b"]))._unsafeUnwrap(), logOffset(0));
  t.is((await client.append("s", ["c"]))._unsafeUnwrap(), logOffset(2));
  const page = (await client.read("s", READ_FROM_START))._unsafeUnwrap();
  t.deepEqual(page.records.map(({ data }) => data), ["a", "b", "c"]);
  const other = (await client.read("other/stream", READ_FROM_START))
    ._unsafeUnwrap();
  t.deepEqual(other, {
    records: [],
    tail: logOffset(0),
    firstKept: logOffset(0),
  });
});

test("an append whose response is lost takes effect", async (t) => {
  const { service, client } = await startLogService(t);
  service.setFaults({ loseNextAppendAnswers: 1, dropNextAppends: 0 });
  const lost = (await client.append("s", ["a"]))._unsafeUnwrapErr();
  t.like(lost, { step: "append_log", peer: "log", outcome: "unknown" });
  const page = (await client.read("s", READ_FROM_START))._unsafeUnwrap();
  t.deepEqual(page.records.map(({ data }) => data), ["a"]);
});

test("the outcome of an append dropped before its effect is unknown", async (t) => {
  const { service, client } = await startLogService(t);
  service.setFaults({ dropNextAppends: 1 });
  const lost = (await client.append("s", ["a"]))._unsafeUnwrapErr();
  t.is(lost.outcome, "unknown");
  t.is(
    (await client.read("s", READ_FROM_START))._unsafeUnwrap().tail,
    logOffset(0),
  );
});

test("records past the retention are removed and firstKept is raised", async (t) => {
  const { client } = await startLogService(t, { retainRecords: 2 });
  await client.append("s", ["a", "b", "c", "d"]);
  const page = (await client.read("s", READ_FROM_START))._unsafeUnwrap();
  t.deepEqual(page.records.map(({ offset }) => offset as number), [2, 3]);
  t.is(page.firstKept, logOffset(2));
  t.is(page.tail, logOffset(4));
});

test("appends beyond the rate are refused as not run", async (t) => {
  const { client } = await startLogService(t, { appendsPerSecond: 0.001 });
  t.true((await client.append("s", ["a"])).isOk());
  const refused = (await client.append("s", ["b"]))._unsafeUnwrapErr();
  t.like(refused, { reason: "overloaded", outcome: "not_run" });
  t.true((refused.retryAfterMilliseconds ?? 0) > 0);
});

test("a read on an empty stream waits for the first record", async (t) => {
  const { service, client } = await startLogService(t);
  const waiting = client.read("s", {
    ...READ_FROM_START,
    waitMilliseconds: 30_000,
  });
  while (service.readCounters().reads === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await client.append("s", ["a"]);
  t.is((await waiting)._unsafeUnwrap().records.length, 1);
});

test("a refusing outage reports not_run, a dropping one is unknown", async (t) => {
  const { service, client } = await startLogService(t);
  service.setFaults({ outage: "refuse" });
  const refused = (await client.append("s", ["a"]))._unsafeUnwrapErr();
  t.like(refused, { reason: "unavailable", outcome: "not_run" });
  service.setFaults({ outage: "drop" });
  const dropped = (await client.append("s", ["a"]))._unsafeUnwrapErr();
  t.is(dropped.outcome, "unknown");
  service.setFaults({ outage: "none" });
  t.is(
    (await client.read("s", READ_FROM_START))._unsafeUnwrap().tail,
    logOffset(0),
  );
});

test("faults are set over HTTP and unknown faults are refused", async (t) => {
  const { service } = await startLogService(t);
  const post = (faults: object) =>
    fetch(`${service.address}/standin/faults`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(faults),
    });
  t.is((await post({ loseNextAppendAnswers: 2 })).status, 200);
  t.is(service.faults.loseNextAppendAnswers, 2);
  t.is((await post({ loseNextAppendAnswer: 2 })).status, 400);
});
