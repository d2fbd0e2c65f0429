import { type RelayCluster, standInConfiguration } from "@foxtailwind/bench";
import { type ClientAccount, clientAccountId } from "@foxtailwind/core";
import { digestApiKey, ProcessClock } from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { getNode, startCluster, waitUntil } from "./helpers/cluster.ts";

const KEY = "secret";
/** The revocation time in the stand-in settings. */
const REVOCATION_MILLISECONDS = 5_000;
const POLL_MILLISECONDS = 50;

/** Publishes a configuration whose only account has the given keys. */
function configure(
  cluster: RelayCluster,
  version: number,
  ...keys: string[]
): void {
  const account: ClientAccount = {
    id: clientAccountId("one"),
    keys: keys.map(digestApiKey),
  };
  cluster.store.configure({
    ...standInConfiguration(version, 3),
    accounts: [account],
  });
}

async function statusAt(cluster: RelayCluster, index: number): Promise<number> {
  const answer = await cluster.lookUp(getNode(cluster, index), {
    "x-key": KEY,
  });
  return answer.status;
}

test("a node that the store turns away serves keys by its peers' proofs, and refuses a revoked one", async (t) => {
  const cluster = await startCluster(t, 3);
  configure(cluster, 2, KEY);
  await waitUntil(async () => await statusAt(cluster, 2) === 200);
  const [, , log] = cluster.logs;
  if (log === undefined) throw new RangeError("There is no third node.");
  log.isSilent = true;
  const clock = new ProcessClock();
  const cutOffAt = clock.now();
  while (clock.now() - cutOffAt < REVOCATION_MILLISECONDS + 1_500) {
    t.is(await statusAt(cluster, 2), 200);
    await sleep(POLL_MILLISECONDS);
  }
  configure(cluster, 3);
  const revokedAt = clock.now();
  await waitUntil(async () => await statusAt(cluster, 2) === 401);
  t.true(clock.now() - revokedAt < REVOCATION_MILLISECONDS);
});

test("nodes that all lose the store refuse keys as not run, after the revocation time and until it returns", async (t) => {
  const cluster = await startCluster(t, 2);
  configure(cluster, 2, KEY);
  await waitUntil(async () => await statusAt(cluster, 0) === 200);
  cluster.store.isUp = false;
  const clock = new ProcessClock();
  const lostAt = clock.now();
  let lastServedAt = lostAt;
  while (clock.now() - lostAt < REVOCATION_MILLISECONDS + 1_500) {
    const sentAt = clock.now();
    const statuses = await Promise.all([
      statusAt(cluster, 0),
      statusAt(cluster, 1),
    ]);
    t.true(statuses.every((status) => status === 200 || status === 503));
    if (statuses.includes(200)) lastServedAt = sentAt;
    await sleep(POLL_MILLISECONDS);
  }
  const servedFor = lastServedAt - lostAt;
  t.true(servedFor < REVOCATION_MILLISECONDS, `${servedFor} ms`);
  t.true(servedFor > REVOCATION_MILLISECONDS / 2, `${servedFor} ms`);
  cluster.store.isUp = true;
  await waitUntil(async () => await statusAt(cluster, 1) === 200);
  t.pass();
});
