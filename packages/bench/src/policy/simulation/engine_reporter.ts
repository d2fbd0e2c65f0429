import {
  type EngineId,
  instant,
  later,
  milliseconds,
  seconds,
} from "@foxtailwind/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { EngineProfile, WorkloadRequest } from "../workloads/workload.ts";
import type { EventQueue } from "./event_queue.ts";
import type { PolicyInbox } from "./policy_inbox.ts";
import { drawDelay } from "./random_delay.ts";
import type { SimulatedEngines } from "./simulated_engines.ts";

const PREFIX_EVENT_DELAY = { minimum: 100, maximum: 1_000 };
const PREFIX_EVENT_LOSS = 0.1;
const REPORT_INTERVAL = seconds(0.5);
const REPORT_LAG = milliseconds(300);

/** What a reporter works with. */
export interface EngineReporterParts {
  readonly queue: EventQueue;
  readonly engines: SimulatedEngines;
  readonly inbox: PolicyInbox;
  readonly random: RandomGenerator;
}

/** Tells of engines as they do: load with a lag, prefixes late and with gaps. */
export class EngineReporter {
  readonly #parts: EngineReporterParts;

  /** @param parts What to work with. */
  constructor(parts: EngineReporterParts) {
    this.#parts = parts;
  }

  /**
   * Begins to report at intervals.
   * @param profiles The engines.
   */
  start(profiles: readonly EngineProfile[]): void {
    this.#parts.queue.schedule(instant(0), () => {
      this.#reportAll(profiles);
    });
  }

  /**
   * Tells that an engine cached a prefix, most of the time.
   * @param engine The engine.
   * @param work The request whose prefix it is.
   */
  prefixStored(engine: EngineId, work: WorkloadRequest): void {
    const { random, inbox } = this.#parts;
    if (uniformFloat64(random) < PREFIX_EVENT_LOSS) return;
    inbox.tellLate(drawDelay(random, PREFIX_EVENT_DELAY), {
      kind: "prefix_event",
      engine,
      change: "stored",
      adapter: work.adapter,
      prefixHash: work.prefixHash,
    });
  }

  #reportAll(profiles: readonly EngineProfile[]): void {
    const { queue } = this.#parts;
    for (const { engine } of profiles) this.#report(engine);
    queue.schedule(later(queue.now, REPORT_INTERVAL), () => {
      this.#reportAll(profiles);
    });
  }

  #report(engine: EngineId): void {
    const run = this.#parts.engines.find(engine);
    if (run === undefined) return;
    const { running, waiting, stepTime } = run.model.report;
    this.#parts.inbox.tellLate(REPORT_LAG, {
      kind: "engine_reported",
      engine,
      running,
      waiting,
      stepTime: milliseconds(stepTime),
      age: REPORT_LAG,
    });
  }
}
