import { seconds } from "@foxtailwind/core";
import type { RelayDaemon } from "@foxtailwind/node/relay";
import { setTimeout as sleep } from "node:timers/promises";
import { RelayCluster } from "../relay/relay_cluster.ts";

const ADAPTERS = 12;
const ROUNDS = 4;
const LOOKUPS = 20;
const COME_BACK_MILLISECONDS = 300;
const MOST_TRIES = 20;

/** What the demonstration of the relay came to. */
export interface RelayDemoResult {
  readonly text: string;
  /** Answers with another adapter's text, or not whole. */
  readonly wrong: number;
}

/**
 * Shows requests by route, as the users' platform has them: three relays on
 * stand-ins of its store, of four engines with four places each for twelve
 * adapters, and of a plain service; one relay stops in the middle.
 * @returns What came of it.
 */
export async function demonstrateRelay(): Promise<RelayDemoResult> {
  const cluster = await RelayCluster.start({
    nodes: 3,
    engines: 4,
    slots: 4,
    grace: seconds(6),
  });
  const first = await sendRound(cluster);
  const [leaving] = cluster.daemons;
  const stopped = leaving?.stop();
  cluster.daemons.shift();
  const later = await sendRound(cluster);
  await stopped;
  const last = await sendRound(cluster);
  const engines = [...cluster.engines.values()];
  const runs = engines.flatMap((engine) => engine.runs);
  const isOverfull = engines.some((engine) => engine.adapters.isOverfull);
  await cluster.stop();
  const all = [...first, ...later, ...last];
  const whole = all.filter(Boolean).length;
  return {
    text: `Relays by route: ${whole} of ${all.length} answers whole, ` +
      `${runs.length} generations run, one of three relays stopped midway` +
      `${isOverfull ? "; an engine was overfull" : ""}.`,
    wrong: all.length - whole + (isOverfull ? 1 : 0),
  };
}

/** Sends a round of requests; whether each was answered rightly and whole. */
async function sendRound(cluster: RelayCluster): Promise<readonly boolean[]> {
  const lookups = Array.from({ length: LOOKUPS }, async (_, index) => {
    const { body } = await cluster.lookUp(nodeFor(cluster, index));
    return body === "looked up /lookups/slots";
  });
  const generations = Array.from(
    { length: ADAPTERS * ROUNDS },
    (_, index) =>
      generateUntilServed(
        cluster,
        nodeFor(cluster, index),
        `a${index % ADAPTERS}`,
      ),
  );
  return await Promise.all([...lookups, ...generations]);
}

function nodeFor({ daemons }: RelayCluster, index: number): RelayDaemon {
  const node = daemons[index % daemons.length];
  if (node === undefined) throw new RangeError("The cluster has no node.");
  return node;
}

/** Comes back after a refusal, as callers do. */
async function generateUntilServed(
  cluster: RelayCluster,
  node: RelayDaemon,
  adapter: string,
): Promise<boolean> {
  for (let tries = 0; tries < MOST_TRIES; tries += 1) {
    const { status, body } = await cluster.generate(node, adapter);
    if (status === 200) {
      return body.includes("id: 5\n") && body.includes(`data: ${adapter}\n`);
    }
    await sleep(COME_BACK_MILLISECONDS);
  }
  return false;
}
