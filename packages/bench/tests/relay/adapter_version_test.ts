import { adapterId } from "@foxtailwind/core";
import test from "ava";
import {
  EVENTS_PER_STREAM,
  getNode,
  startCluster,
  waitUntil,
  waitUntilOwned,
} from "./helpers/cluster.ts";

/** A time in minutes, above 2^32. */
const LARGE_VERSION = 202_612_041_630;

// Guards against the end of an engine's owner, and of each node that takes the
// engine over, once a version is set that doesn't fit a field of 32 bits.
test("nodes serve an adapter whose version is larger than 2^32", async (t) => {
  const cluster = await startCluster(t, 3);
  await waitUntilOwned(cluster);
  const adapter = adapterId("a1");
  cluster.store.setVersion(adapter, LARGE_VERSION);
  for (const daemon of cluster.daemons) {
    await waitUntil(async () => {
      const { status, body } = await cluster.generate(daemon, adapter);
      if (status === 503) return false;
      t.is(status, 200);
      t.is(body.split(`data: ${adapter}\n`).length - 1, EVENTS_PER_STREAM);
      return true;
    });
  }
  const holders = [...cluster.engines.values()].filter(({ adapters }) =>
    adapters.loadedAdapters.has(adapter)
  );
  t.true(holders.length > 0);
  for (const { adapters } of holders) {
    t.is(adapters.versionOf(adapter), LARGE_VERSION);
  }
  const node = getNode(cluster, 0);
  await waitUntil(async () =>
    (await cluster.addresses(node)).length === cluster.daemons.length
  );
});
