import * as z from "zod";
import type { FaultCluster } from "./fault_cluster.ts";

const POLL_INTERVAL_MILLISECONDS = 50;
const READ_TIMEOUT_MILLISECONDS = 500;

const countersSchema = z.object({
  generationsStarted: z.number(),
  evictedInUse: z.number(),
  restarts: z.number(),
});

/** The counters of an engine stand-in. */
export type EngineCounters = z.output<typeof countersSchema>;

/** The last change of an engine's count of started generations. */
interface Progress {
  generationsStarted: number;
  changedAt: number;
}

/** A period in which an engine started no generation. */
export interface EngineGap {
  readonly engine: string;
  readonly from: number;
  readonly to: number;
}

/** Polls the engines' counters to find gaps between generation starts. */
export class GapProbe {
  readonly #cluster: FaultCluster;
  readonly #progress = new Map<string, Progress>();
  readonly #gaps: EngineGap[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(cluster: FaultCluster) {
    this.#cluster = cluster;
  }

  /** Polls until {@link stop} is called. */
  start(): void {
    this.#timer = setInterval(
      () => void this.#poll(),
      POLL_INTERVAL_MILLISECONDS,
    );
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Finds the longest gap of each engine that overlaps a period.
   * @param from Start of the period.
   * @param to End of the period.
   * @returns One gap for each engine that had any.
   */
  longestGaps(from: number, to: number): readonly EngineGap[] {
    const best = new Map<string, EngineGap>();
    for (const gap of this.#gaps) {
      if (gap.to < from || gap.from > to) continue;
      const known = best.get(gap.engine);
      if (known === undefined || durationOf(gap) > durationOf(known)) {
        best.set(gap.engine, gap);
      }
    }
    return [...best.values()];
  }

  async #poll(): Promise<void> {
    await Promise.all(this.#cluster.engines.map(async (engine) => {
      const counters = await readCounters(engine.address);
      if (counters === undefined) return;
      this.#recordProgress(engine.plan.id, counters.generationsStarted);
    }));
  }

  #recordProgress(engine: string, started: number): void {
    const now = performance.now();
    const progress = this.#progress.get(engine);
    if (progress === undefined) {
      this.#progress.set(engine, {
        generationsStarted: started,
        changedAt: now,
      });
      return;
    }
    if (progress.generationsStarted === started) return;
    this.#gaps.push({ engine, from: progress.changedAt, to: now });
    progress.generationsStarted = started;
    progress.changedAt = now;
  }
}

/**
 * Reads an engine's counters.
 * @param address The engine's `http://` address.
 * @returns The counters, or `undefined` if the engine does not answer.
 */
export async function readCounters(
  address: string,
): Promise<EngineCounters | undefined> {
  try {
    const answer = await fetch(`${address}/standin/counters`, {
      signal: AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS),
    });
    return countersSchema.parse(await answer.json());
  } catch {
    return undefined;
  }
}

function durationOf(gap: EngineGap): number {
  return gap.to - gap.from;
}
