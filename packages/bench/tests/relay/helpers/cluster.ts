import { RelayCluster } from "@foxtailwind/bench";
import { seconds } from "@foxtailwind/core";
import type { RelayDaemon } from "@foxtailwind/node/relay";
import type { ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";

/** The number of events in each stream of a stand-in engine. */
export const EVENTS_PER_STREAM = 5;

/**
 * Starts a cluster with two engines of three slots, which stops with the test.
 * @param t The test.
 * @param nodes The number of nodes.
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
 * Returns a node of a cluster.
 * @param cluster The cluster.
 * @param index The zero-based index of the node.
 * @returns The node.
 */
export function getNode(cluster: RelayCluster, index: number): RelayDaemon {
  const daemon = cluster.daemons[index];
  if (daemon === undefined) throw new RangeError(`There is no node ${index}.`);
  return daemon;
}

/**
 * Polls until a condition holds.
 * @param condition Returns whether it holds.
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await condition()) await sleep(20);
}

/**
 * Waits until each engine has an owner.
 * @param cluster The cluster.
 */
export async function waitUntilOwned(cluster: RelayCluster): Promise<void> {
  await waitUntil(() => {
    const ownedEngines = cluster.store.claims.map((claim) => claim.engine);
    return new Set(ownedEngines).size === cluster.engines.size;
  });
}
