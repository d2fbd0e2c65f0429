import { HedgedSearch } from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";

type Fate = "silent" | "refuses" | "grants" | "queues" | "grants_late";

/** Searches engines whose owners behave as told. */
async function search(fates: readonly Fate[], signal?: AbortSignal) {
  const asked: Fate[] = [];
  const released: Fate[] = [];
  const place = await new HedgedSearch<Fate, Fate>({
    engines: fates,
    ask: async (fate, question) => {
      asked.push(fate);
      const cancelled = new Promise<undefined>((resolve) => {
        question.signal.addEventListener("abort", () => {
          resolve(undefined);
        });
      });
      switch (fate) {
        case "refuses":
          return undefined;
        case "grants":
          return fate;
        case "queues":
          question.onQueued(10_000);
          await sleep(300);
          return fate;
        case "grants_late":
          await sleep(250);
          return fate;
        case "silent": {
          await cancelled;
          return;
        }
      }
    },
    release: (fate) => {
      released.push(fate);
    },
    signal: signal ?? AbortSignal.timeout(20_000),
  }).run();
  return { place, asked, released };
}

// Guards against requests that wait for one silent owner until their time is
// over, and are refused although other engines have room.
test("while an owner is silent, the next one is asked", async (t) => {
  const { place, asked } = await search(["silent", "silent", "grants"]);
  t.is(place, "grants");
  t.is(asked.length, 3);
});

test("an owner that has queued the request is waited for, and nobody else is asked", async (t) => {
  const { place, asked } = await search(["queues", "grants"]);
  t.is(place, "queues");
  t.deepEqual(asked, ["queues"]);
});

test("the next owner is asked at once after a refusal", async (t) => {
  const { place, asked } = await search(["refuses", "grants", "silent"]);
  t.is(place, "grants");
  t.deepEqual(asked, ["refuses", "grants"]);
});

test("a place that a slow owner grants after another one is given back", async (t) => {
  const { place, released } = await search(["grants_late", "grants"]);
  t.is(place, "grants");
  while (released.length === 0) await sleep(10);
  t.deepEqual(released, ["grants_late"]);
});

test("a search that nobody waits for any longer ends", async (t) => {
  const caller = new AbortController();
  const searched = search(["silent"], caller.signal);
  caller.abort();
  t.is((await searched).place, undefined);
});

test("a search without engines ends at once", async (t) => {
  t.is((await search([])).place, undefined);
});
