/**
 * Measures how long a change takes to be in force at every one of nine
 * daemons in this process, and how many messages it takes to spread it.
 * @module
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { InProcessCluster } from "../in_process/in_process_cluster.ts";
import { measureSpread } from "./measure_spread.ts";
import { formatSpreadCounts } from "./spread_counts.ts";

const NODES = 9;
const DOMAINS = 3;
const CHANGES = 50;
const SETTLE_MILLISECONDS = 2_000;

const cluster = await InProcessCluster.start({
  nodes: NODES,
  domains: DOMAINS,
});
await sleep(SETTLE_MILLISECONDS);
const figures = await measureSpread(cluster, CHANGES);
process.stdout.write(
  `${figures.changes} changes at ${NODES} nodes in ${DOMAINS} failure domains\n` +
    `answer to the operator: median ${figures.answerMedian} ms, ` +
    `longest ${figures.answerLongest} ms\n` +
    `in force everywhere after the answer: median ${figures.afterMedian} ms, ` +
    `longest ${figures.afterLongest} ms\n`,
);
await cluster.stop();
process.stdout.write(`${formatSpreadCounts()}\n`);
