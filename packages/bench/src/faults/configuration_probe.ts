import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import type { NodeProcess } from "../demo/node_process.ts";

/** How long one change took until every reachable node had it. */
export interface ChangeTiming {
  readonly publishedAt: number;
  readonly inForceAfterMilliseconds: number;
}

const POLL_MILLISECONDS = 20;
const GIVE_UP_MILLISECONDS = 60_000;
const BETWEEN_CHANGES_MILLISECONDS = 2_000;
const ASK_TIMEOUT_MILLISECONDS = 500;

const offsetSchema = z.object({ offset: z.number() });

/** Changes a target again and again, and times each change. */
export class ConfigurationProbe {
  readonly timings: ChangeTiming[] = [];
  /** Changes that were refused or not answered, as in an outage. */
  refused = 0;
  readonly #nodes: () => readonly NodeProcess[];
  #stopped = false;
  #turn = 0;

  /** @param nodes Gives the nodes that are reachable now. */
  constructor(nodes: () => readonly NodeProcess[]) {
    this.#nodes = nodes;
  }

  /** Changes the configuration until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#changeOnce();
      await sleep(BETWEEN_CHANGES_MILLISECONDS);
    }
  }

  /** Makes no further change. */
  stop(): void {
    this.#stopped = true;
  }

  async #changeOnce(): Promise<void> {
    const nodes = this.#nodes();
    this.#turn += 1;
    const node = nodes[this.#turn % nodes.length];
    if (node === undefined) return;
    const offset = await publish(node, this.#turn);
    if (offset === undefined) {
      this.refused += 1;
      return;
    }
    const publishedAt = performance.now();
    while (performance.now() - publishedAt < GIVE_UP_MILLISECONDS) {
      const offsets = await Promise.all(this.#nodes().map(readOffset));
      const all = offsets.every((seen) => seen === undefined || seen >= offset);
      if (all) break;
      await sleep(POLL_MILLISECONDS);
    }
    this.timings.push({
      publishedAt,
      inForceAfterMilliseconds: performance.now() - publishedAt,
    });
  }
}

async function publish(
  node: NodeProcess,
  turn: number,
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
            target: { firstTokenMilliseconds: 1_000 + turn },
          }],
        }),
        signal: AbortSignal.timeout(GIVE_UP_MILLISECONDS),
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
      { signal: AbortSignal.timeout(ASK_TIMEOUT_MILLISECONDS) },
    );
    return offsetSchema.parse(await answer.json()).offset;
  } catch {
    return undefined;
  }
}
