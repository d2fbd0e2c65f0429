import test from "ava";
import {
  type ResidencyLoad,
  type ResidencyResult,
  ResidencyWorld,
  zipfAdapters,
} from "./helpers/residency_world.ts";

const ENGINES = 24;
/** Half the time in which a request should get its first token. */
const HALF_TARGET = 250;
const TARGET = 500;

type AdapterDraw = ResidencyLoad["adapter"];

const MOVING_ADAPTERS = zipfAdapters({
  adapters: 10_000,
  exponent: 1.2,
  moveEvery: 8_000,
});
const OTHER_ADAPTERS = zipfAdapters({
  adapters: 2_000,
  exponent: 0.8,
  moveEvery: Infinity,
});
const HOT_ADAPTER: AdapterDraw = (now, random) =>
  random() < 0.2 ? "hot" : OTHER_ADAPTERS(now, random);

/** Plays a load without and with what placement and owners know. */
async function compare(
  adapter: AdapterDraw,
  requestsPerEngine: number,
): Promise<readonly ResidencyResult[]> {
  const results: ResidencyResult[] = [];
  for (const isInformed of [false, true]) {
    const world = new ResidencyWorld({
      engines: ENGINES,
      requestsPerSecond: ENGINES * requestsPerEngine,
      seconds: 20,
      patience: 2_000,
      adapter,
      knowsCaches: isInformed,
      boundsWaiters: isInformed,
    });
    results.push(await world.run());
  }
  return results;
}

/** The share of requests that wait for longer than a time. */
function shareOver(result: ResidencyResult, wait: number): number {
  const inTime = result.waits.filter((one) => one <= wait).length;
  return 1 - inTime / result.requests;
}

function meanWait({ waits }: ResidencyResult): number {
  return waits.reduce((sum, wait) => sum + wait, 0) / waits.length;
}

test("demand moves to other adapters every few seconds over 10,000 adapters and few places", async (t) => {
  const [before, after] = await compare(MOVING_ADAPTERS, 14);
  if (before === undefined || after === undefined) throw new Error("no result");
  t.log(summarise(before), summarise(after));
  t.true(after.storeLoads < before.storeLoads);
  t.true(shareOver(after, HALF_TARGET) < shareOver(before, HALF_TARGET));
  t.true(shareOver(after, TARGET) < 0.5 * shareOver(before, TARGET));
});

test("one adapter takes a fifth of all requests", async (t) => {
  const [before, after] = await compare(HOT_ADAPTER, 10);
  if (before === undefined || after === undefined) throw new Error("no result");
  t.log(summarise(before), summarise(after));
  t.true(after.storeLoads < 0.95 * before.storeLoads);
  t.true(shareOver(after, HALF_TARGET) < shareOver(before, HALF_TARGET));
  t.true(meanWait(after) < meanWait(before));
});

function summarise(result: ResidencyResult): string {
  const { requests, refused, storeLoads, cacheLoads, mostRunning } = result;
  const waits = [HALF_TARGET, TARGET].map((wait) =>
    shareOver(result, wait).toFixed(4)
  );
  return `${requests} requests, ${refused} refused, over 250 and 500 ms ${
    waits.join(", ")
  }, mean ${meanWait(result).toFixed(0)} ms, ${storeLoads} loads from the ` +
    `store, ${cacheLoads} from caches, at most ${mostRunning} on an engine`;
}
