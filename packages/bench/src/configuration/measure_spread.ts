import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import type { InProcessCluster } from "../in_process/in_process_cluster.ts";

const answerSchema = z.object({ offset: z.number() });
const GIVE_UP_MILLISECONDS = 20_000;
const BETWEEN_CHANGES_MILLISECONDS = 37;

/** How long changes took, in milliseconds. */
export interface SpreadFigures {
  readonly changes: number;
  readonly answerMedian: number;
  readonly answerLongest: number;
  /** From the operator's answer until the last node has it in force. */
  readonly afterMedian: number;
  readonly afterLongest: number;
}

/**
 * Publishes changes through one node after the other, and waits each time
 * until every node has the change in force.
 * @param cluster The running daemons.
 * @param changes How many.
 * @returns The times.
 */
export async function measureSpread(
  cluster: InProcessCluster,
  changes: number,
): Promise<SpreadFigures> {
  const answers: number[] = [];
  const after: number[] = [];
  for (let index = 0; index < changes; index += 1) {
    const started = performance.now();
    const offset = await publish(cluster, index);
    const answered = performance.now();
    await inForceEverywhere(cluster, offset);
    answers.push(answered - started);
    after.push(performance.now() - answered);
    await sleep(BETWEEN_CHANGES_MILLISECONDS);
  }
  return {
    changes,
    answerMedian: median(answers),
    answerLongest: rounded(Math.max(...answers)),
    afterMedian: median(after),
    afterLongest: rounded(Math.max(...after)),
  };
}

async function publish(
  cluster: InProcessCluster,
  index: number,
): Promise<number> {
  const node = cluster.nodes[index % cluster.nodes.length];
  const answer = await fetch(
    `http://${node?.addresses.http}/v1/operators/configuration`,
    {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        changes: [{
          kind: "set_class",
          class: "measured",
          target: { firstTokenMilliseconds: index + 1 },
        }],
      }),
    },
  );
  return answerSchema.parse(await answer.json()).offset;
}

async function inForceEverywhere(
  cluster: InProcessCluster,
  offset: number,
): Promise<void> {
  const until = performance.now() + GIVE_UP_MILLISECONDS;
  const isBehind = () =>
    cluster.nodes.some(({ daemon }) =>
      daemon.follower.configuration.offset < offset
    );
  while (isBehind()) {
    if (performance.now() > until) {
      throw new Error(`Offset ${offset} is not in force everywhere in time`);
    }
    await sleep(1);
  }
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return rounded(sorted[Math.floor(sorted.length / 2)] ?? 0);
}

function rounded(value: number): number {
  return Math.round(value * 10) / 10;
}
