import {
  adapterHash,
  adapterId,
  type AdapterName,
  backendServerId,
  CachedAdapters,
  type EngineState,
  type Instant,
  instant,
  milliseconds,
  modelId,
  randomSource,
  rankEngines,
  serverStart,
} from "@foxtailwind/core";
import { EventQueue } from "./event_queue.ts";
import { type EngineReport, SimulatedEngine } from "./simulated_engine.ts";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** How often nodes hear of an engine's state, in milliseconds. */
const DIGEST_INTERVAL = 300;
/** A message between two nodes, in milliseconds. */
const HOP = 2;
const RETRY_DELAY = 40;
const MAXIMUM_ASKED = 3;
const START = serverStart(1);

/** A load on a simulated deployment. */
export interface ResidencyLoad {
  readonly engines: number;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** How long a request waits for a place at most, in milliseconds. */
  readonly patience: number;
  /** Draws the adapter of a request. */
  readonly adapter: (now: number, random: () => number) => string;
  /** Whether nodes use what they know of the engines' caches. */
  readonly knowsCaches: boolean;
  /** Whether requests beyond an engine's places may not wait for a load. */
  readonly boundsWaiters: boolean;
}

/** What the requests of a load met with. */
export interface ResidencyResult {
  readonly requests: number;
  readonly refused: number;
  /** The waits for a place, shortest first, in milliseconds. */
  readonly waits: readonly number[];
  readonly storeLoads: number;
  readonly cacheLoads: number;
  /** The highest number of requests that ran on one engine. */
  readonly mostRunning: number;
}

/**
 * Runs requests against simulated engines without a network. All nodes know the
 * same states of the engines, as old as digests are.
 */
export class ResidencyWorld {
  readonly #load: ResidencyLoad;
  readonly #events = new EventQueue();
  readonly #random: () => number;
  readonly #cached = new CachedAdapters();
  readonly #engines: readonly SimulatedEngine[];
  readonly #reports = new Map<SimulatedEngine, EngineReport>();
  readonly #waits: number[] = [];
  #requests = 0;
  #refused = 0;

  /** @param load The load. */
  constructor(load: ResidencyLoad) {
    this.#load = load;
    const source = randomSource(7);
    this.#random = () => uniformFloat64(source);
    this.#engines = Array.from(
      { length: load.engines },
      (_, index) =>
        new SimulatedEngine(backendServerId(`e${index}`), this.#events),
    );
  }

  /**
   * Runs the load to its end.
   * @returns What the requests met with.
   */
  async run(): Promise<ResidencyResult> {
    const end = this.#load.seconds * 1_000;
    for (const [index, engine] of this.#engines.entries()) {
      engine.boundsWaiters = this.#load.boundsWaiters;
      this.#report(engine, end);
      this.#events.add((index * 37) % DIGEST_INTERVAL, () => {
        this.#report(engine, end);
      });
    }
    this.#arrive(end);
    await this.#events.run();
    const count = (source: "cache" | "store") =>
      this.#engines.reduce((sum, engine) => sum + engine.loads[source], 0);
    return {
      requests: this.#requests,
      refused: this.#refused,
      waits: this.#waits.toSorted((left, right) => left - right),
      storeLoads: count("store"),
      cacheLoads: count("cache"),
      mostRunning: Math.max(...this.#engines.map((one) => one.mostRunning)),
    };
  }

  #report(engine: SimulatedEngine, end: number): void {
    const report = engine.report();
    this.#reports.set(engine, report);
    this.#cached.observe(engine.id, { start: START, ...report });
    if (this.#events.now >= end) return;
    this.#events.add(DIGEST_INTERVAL, () => {
      this.#report(engine, end);
    });
  }

  #arrive(end: number): void {
    const now = this.#events.now;
    if (now >= end) return;
    this.#requests += 1;
    const adapter = adapterId(this.#load.adapter(now, this.#random));
    const name = { model: modelId("m"), adapter };
    void this.#place(name, instant(now));
    const pause = -Math.log(1 - this.#random()) * 1_000 /
      this.#load.requestsPerSecond;
    this.#events.add(pause, () => {
      this.#arrive(end);
    });
  }

  async #place(name: AdapterName, arrivedAt: Instant): Promise<void> {
    const giveUpAt = arrivedAt + this.#load.patience;
    while (this.#events.now < giveUpAt) {
      const states = this.#engines.flatMap((engine) =>
        this.#describe(engine, name) ?? []
      );
      const ranked = rankEngines({ ...name, promptTokens: 600 }, states);
      for (const id of ranked.slice(0, MAXIMUM_ASKED)) {
        const engine = this.#engines.find((one) => one.id === id);
        await this.#events.sleep(HOP);
        if (await engine?.use(name, giveUpAt) !== true) continue;
        engine?.run(name, () => {
          this.#waits.push(this.#events.now - arrivedAt);
        });
        return;
      }
      await this.#events.sleep(RETRY_DELAY);
    }
    this.#refused += 1;
  }

  #describe(
    engine: SimulatedEngine,
    name: AdapterName,
  ): EngineState | undefined {
    const report = this.#reports.get(engine);
    if (report === undefined || report.isFull) return undefined;
    const held = report.adapters.find((one) => one.adapter === name.adapter);
    const { cacheSize } = report;
    const hash = adapterHash(name);
    const isCached = this.#cached.has(
      engine.id,
      { start: START, cacheSize },
      { hash, minimumVersion: 0 },
    );
    return {
      id: engine.id,
      expectedWait: 0.25 * report.running ** 2,
      prefillTime: milliseconds(17),
      running: report.running,
      canOrderLoads: true,
      availableSlots: report.room,
      holdsAdapter: held?.isLoading === false,
      isLoading: held?.isLoading === true,
      ...(this.#load.knowsCaches
        ? {
          draw: this.#random(),
          load: isCached
            ? { source: "cache", time: report.reloadTime }
            : { source: "store", time: report.loadTime },
        }
        : {}),
    };
  }
}

/**
 * Creates a draw of adapters whose popularity falls with their rank, and moves
 * on to others.
 * @param options The number of adapters, the exponent by which popularity falls
 * with the rank, and how often the ranks move, in milliseconds.
 * @returns The draw.
 */
export function zipfAdapters(
  { adapters, exponent, moveEvery }: {
    readonly adapters: number;
    readonly exponent: number;
    readonly moveEvery: number;
  },
): ResidencyLoad["adapter"] {
  const sums: number[] = [];
  let total = 0;
  for (let rank = 1; rank <= adapters; rank += 1) {
    total += rank ** -exponent;
    sums.push(total);
  }
  return (now, random) => {
    const drawn = random() * total;
    const rank = sums.findIndex((sum) => sum >= drawn);
    const shift = Math.floor(now / moveEvery) * 1_237;
    return `a${(rank + shift) % adapters}`;
  };
}
