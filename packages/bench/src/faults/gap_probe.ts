import * as z from "zod";
import type { FaultCluster } from "./fault_cluster.ts";

const PROBE_MILLISECONDS = 50;
const PROBE_TIMEOUT_MILLISECONDS = 500;

const countersSchema = z.object({
  generationsStarted: z.number(),
  evictedInUse: z.number(),
  restarts: z.number(),
});

/** What an engine counted. */
export type EngineCounters = z.output<typeof countersSchema>;

interface Progress {
  started: number;
  since: number;
}

/** A time in which an engine started nothing. */
export interface EngineGap {
  readonly engine: string;
  readonly from: number;
  readonly to: number;
}

/** Watches when each engine starts generations, and so the gaps in service. */
export class GapProbe {
  readonly #cluster: FaultCluster;
  readonly #progress = new Map<string, Progress>();
  readonly #gaps: EngineGap[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(cluster: FaultCluster) {
    this.#cluster = cluster;
  }

  /** Watches until {@link stop}. */
  start(): void {
    this.#timer = setInterval(() => void this.#look(), PROBE_MILLISECONDS);
  }

  /** Stops watching. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Finds the longest gap of each engine that overlaps a time.
   * @param from Its start.
   * @param to Its end.
   * @returns A gap for each engine that had one.
   */
  longest(from: number, to: number): readonly EngineGap[] {
    const best = new Map<string, EngineGap>();
    for (const gap of this.#gaps) {
      if (gap.to < from || gap.from > to) continue;
      const known = best.get(gap.engine);
      if (known === undefined || length(gap) > length(known)) {
        best.set(gap.engine, gap);
      }
    }
    return [...best.values()];
  }

  async #look(): Promise<void> {
    await Promise.all(this.#cluster.engines.map(async (engine) => {
      const counters = await readCounters(engine.address);
      if (counters === undefined) return;
      this.#note(engine.plan.id, counters.generationsStarted);
    }));
  }

  #note(engine: string, started: number): void {
    const now = performance.now();
    const progress = this.#progress.get(engine);
    if (progress === undefined) {
      this.#progress.set(engine, { started, since: now });
      return;
    }
    if (progress.started === started) return;
    this.#gaps.push({ engine, from: progress.since, to: now });
    progress.started = started;
    progress.since = now;
  }
}

/**
 * Reads an engine's counters.
 * @param address The engine's `http://` address.
 * @returns The counters, or nothing where it does not answer.
 */
export async function readCounters(
  address: string,
): Promise<EngineCounters | undefined> {
  try {
    const answer = await fetch(`${address}/standin/counters`, {
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS),
    });
    return countersSchema.parse(await answer.json());
  } catch {
    return undefined;
  }
}

function length(gap: EngineGap): number {
  return gap.to - gap.from;
}
