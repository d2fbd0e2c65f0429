import { RelayCluster } from "@foxtailwind/bench";
import { seconds } from "@foxtailwind/core";
import type { RelayDaemon } from "@foxtailwind/node/relay";
import type { ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";

/** Events of each of the stand-ins' streams. */
export const EVENTS = 5;

/**
 * Starts a cluster with two engines of three slots; the test's end stops it.
 * @param t The test.
 * @param nodes How many nodes it has.
 * @returns The cluster.
 */
export async function startCluster(
  t: ExecutionContext,
  nodes: number,
): Promise<RelayCluster> {
  const cluster = await RelayCluster.start({
    nodes,
    engines: 2,
    slots: 3,
    grace: seconds(6),
  });
  t.teardown(() => cluster.stop());
  return cluster;
}

/**
 * Gives a node of a cluster.
 * @param cluster The cluster.
 * @param index Its place among the nodes, from 0.
 * @returns The node.
 */
export function nodeOf(cluster: RelayCluster, index: number): RelayDaemon {
  const daemon = cluster.daemons[index];
  if (daemon === undefined) throw new RangeError(`There is no node ${index}.`);
  return daemon;
}

/**
 * Waits for what nodes learn from one another.
 * @param isSo Tells whether they have.
 */
export async function until(
  isSo: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await isSo()) await sleep(20);
}

/**
 * Waits until each engine has an owner.
 * @param cluster The cluster.
 */
export async function untilOwned(cluster: RelayCluster): Promise<void> {
  await until(() => {
    const owned = cluster.store.claims.map((claim) => claim.engine);
    return new Set(owned).size === cluster.engines.size;
  });
}
