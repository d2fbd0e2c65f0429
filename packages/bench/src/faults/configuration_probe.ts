import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import type { NodeProcess } from "../demo/node_process.ts";

/** Time until every reachable node had applied one change. */
export interface ChangeTiming {
  readonly publishedAt: number;
  readonly appliedAfterMilliseconds: number;
}

const POLL_INTERVAL_MILLISECONDS = 20;
const CHANGE_TIMEOUT_MILLISECONDS = 60_000;
const CHANGE_INTERVAL_MILLISECONDS = 2_000;
const READ_TIMEOUT_MILLISECONDS = 500;

const offsetSchema = z.object({ offset: z.number() });

/** Changes a class's target repeatedly and times each change. */
export class ConfigurationProbe {
  readonly timings: ChangeTiming[] = [];
  /** Changes that were refused or unanswered, as during an outage. */
  refused = 0;
  readonly #nodes: () => readonly NodeProcess[];
  #stopped = false;
  #changeCount = 0;

  /** @param nodes Returns the nodes that are running now. */
  constructor(nodes: () => readonly NodeProcess[]) {
    this.#nodes = nodes;
  }

  /** Publishes changes until {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#changeOnce();
      await sleep(CHANGE_INTERVAL_MILLISECONDS);
    }
  }

  /** Publishes no further changes. */
  stop(): void {
    this.#stopped = true;
  }

  async #changeOnce(): Promise<void> {
    const nodes = this.#nodes();
    this.#changeCount += 1;
    const node = nodes[this.#changeCount % nodes.length];
    if (node === undefined) return;
    const offset = await publish(node, this.#changeCount);
    if (offset === undefined) {
      this.refused += 1;
      return;
    }
    const publishedAt = performance.now();
    while (performance.now() - publishedAt < CHANGE_TIMEOUT_MILLISECONDS) {
      const offsets = await Promise.all(this.#nodes().map(readOffset));
      const all = offsets.every((seen) => seen === undefined || seen >= offset);
      if (all) break;
      await sleep(POLL_INTERVAL_MILLISECONDS);
    }
    this.timings.push({
      publishedAt,
      appliedAfterMilliseconds: performance.now() - publishedAt,
    });
  }
}

async function publish(
  node: NodeProcess,
  changeNumber: number,
): Promise<number | undefined> {
  try {
    const answer = await fetch(
      `http://${node.http}/v1/operators/configuration`,
      {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          changes: [{
            kind: "set_class",
            class: "probe",
            target: { firstTokenMilliseconds: 1_000 + changeNumber },
          }],
        }),
        signal: AbortSignal.timeout(CHANGE_TIMEOUT_MILLISECONDS),
      },
    );
    return answer.ok
      ? offsetSchema.parse(await answer.json()).offset
      : undefined;
  } catch {
    return undefined;
  }
}

async function readOffset(node: NodeProcess): Promise<number | undefined> {
  try {
    const answer = await fetch(
      `http://${node.http}/v1/operators/configuration`,
      { signal: AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS) },
    );
    return offsetSchema.parse(await answer.json()).offset;
  } catch {
    return undefined;
  }
}
