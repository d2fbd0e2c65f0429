import { seconds } from "@foxtailwind/core";
import type { RelayDaemon } from "@foxtailwind/node/relay";
import { setTimeout as sleep } from "node:timers/promises";
import { RelayCluster } from "../relay/relay_cluster.ts";

const ADAPTER_COUNT = 12;
const REQUESTS_PER_ADAPTER = 4;
const LOOKUPS_PER_ROUND = 20;
const RETRY_DELAY_MILLISECONDS = 300;
const MAX_ATTEMPTS = 20;

/** The result of the relay demonstration. */
export interface RelayDemoResult {
  readonly summary: string;
  /**
   * Responses that came from another adapter or were incomplete; an engine
   * with more adapters than slots adds one.
   */
  readonly failureCount: number;
}

/**
 * Demonstrates routed requests as the users' platform sends them. Three relays
 * run against stand-ins of the platform's store, of four engines with four
 * adapter slots each for twelve adapters, and of a plain service. One relay
 * stops midway.
 * @returns The summary line and the number of failures.
 */
export async function runRelayDemo(): Promise<RelayDemoResult> {
  const cluster = await RelayCluster.start({
    nodes: 3,
    engines: 4,
    slots: 4,
    grace: seconds(6),
  });
  const resultsBeforeStop = await sendRound(cluster);
  const [leavingDaemon] = cluster.daemons;
  const stopCompleted = leavingDaemon?.stop();
  cluster.daemons.shift();
  const resultsDuringStop = await sendRound(cluster);
  await stopCompleted;
  const resultsAfterStop = await sendRound(cluster);
  const engines = [...cluster.engines.values()];
  const runs = engines.flatMap((engine) => engine.runs);
  const isOverfull = engines.some((engine) => engine.adapters.hasExceededSlots);
  await cluster.stop();
  const results = [
    ...resultsBeforeStop,
    ...resultsDuringStop,
    ...resultsAfterStop,
  ];
  const completeCount = results.filter(Boolean).length;
  return {
    summary:
      `Relays by route: ${completeCount} of ${results.length} answers whole, ` +
      `${runs.length} generations run, one of three relays stopped midway` +
      `${isOverfull ? "; an engine was overfull" : ""}.`,
    failureCount: results.length - completeCount + (isOverfull ? 1 : 0),
  };
}

/**
 * Sends one round of requests. Each result says whether the response was
 * correct and complete.
 */
async function sendRound(cluster: RelayCluster): Promise<readonly boolean[]> {
  const lookups = Array.from(
    { length: LOOKUPS_PER_ROUND },
    async (_, index) => {
      const { body } = await cluster.lookUp(daemonForIndex(cluster, index));
      return body === "looked up /lookups/slots";
    },
  );
  const generations = Array.from(
    { length: ADAPTER_COUNT * REQUESTS_PER_ADAPTER },
    (_, index) =>
      generateUntilServed(
        cluster,
        daemonForIndex(cluster, index),
        `a${index % ADAPTER_COUNT}`,
      ),
  );
  return await Promise.all([...lookups, ...generations]);
}

function daemonForIndex({ daemons }: RelayCluster, index: number): RelayDaemon {
  const daemon = daemons[index % daemons.length];
  if (daemon === undefined) throw new RangeError("The cluster has no node.");
  return daemon;
}

/** Retries after each refusal, as callers do. */
async function generateUntilServed(
  cluster: RelayCluster,
  daemon: RelayDaemon,
  adapter: string,
): Promise<boolean> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const { status, body } = await cluster.generate(daemon, adapter);
    if (status === 200) {
      return body.includes("id: 5\n") && body.includes(`data: ${adapter}\n`);
    }
    await sleep(RETRY_DELAY_MILLISECONDS);
  }
  return false;
}
