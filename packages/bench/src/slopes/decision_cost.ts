import {
  adapterId,
  AdapterServingPolicy,
  adapterVersion,
  classId,
  type DeploymentOrder,
  engineId,
  instant,
  milliseconds,
  type QueuedRequest,
  requestId,
  tenantId,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ZipfSampler } from "../load/zipf.ts";
import {
  type Measurement,
  measureProcessorMicroseconds,
  measureRetainedMemory,
} from "./measurement.ts";

const SIZES = [
  { engines: 1, adapters: 3_000 },
  { engines: 8, adapters: 3_000 },
  { engines: 64, adapters: 3_000 },
  { engines: 8, adapters: 1_000 },
  { engines: 8, adapters: 71_000 },
];
const REQUESTS = 4_000;
const REQUESTS_PER_SECOND_PER_ENGINE = 11;
const ZIPF_EXPONENT = 1.1;
const LOAD_MILLISECONDS = 200;
const ANSWER_MILLISECONDS = 1_000;
const CAPACITY = { adapterSlots: 48, batchCapacity: 32 };
const LIMITS = { loadsPerSecond: 7, concurrentLoads: 2 };
const MILLISECONDS_PER_SECOND = 1_000;

/** Number of engines and adapters that one node manages. */
interface DecisionSize {
  readonly engines: number;
  readonly adapters: number;
}

/** An order that completes at a set virtual time. */
interface PendingCompletion {
  readonly at: number;
  readonly order: DeploymentOrder;
}

/**
 * Measures the adapter decisions of one node over virtual time.
 * @returns For each size, the costs of a request.
 */
export function measureDecisions(): readonly Measurement[] {
  return SIZES.map(measureSize);
}

function measureSize(size: DecisionSize): Measurement {
  let time = 0;
  const { mebibytes, held: simulation } = measureRetainedMemory(() => {
    const run = new DecisionSimulation(size);
    time = measureProcessorMicroseconds(() => {
      run.run();
    });
    return run;
  });
  return {
    subject: "adapter decisions, a node",
    size: `${size.engines} engines, ${size.adapters} adapters`,
    figures: [
      { name: "processor time a request", value: time / REQUESTS, unit: "µs" },
      { name: "memory", value: mebibytes, unit: "MiB" },
      {
        name: "dispatched",
        value: simulation.dispatched,
        unit: `of ${REQUESTS}`,
      },
      { name: "refused", value: simulation.refused, unit: `of ${REQUESTS}` },
    ],
  };
}

/** Feeds the serving policy with requests and completes its orders. */
class DecisionSimulation {
  dispatched = 0;
  refused = 0;
  readonly #size: DecisionSize;
  readonly #policy = new AdapterServingPolicy(LIMITS);
  readonly #random = new SeededRandom(1);
  readonly #rankGenerator = xoroshiro128plus(1);
  readonly #zipf: ZipfSampler;
  readonly #loads: PendingCompletion[] = [];
  readonly #answers: PendingCompletion[] = [];
  #now = 0;

  constructor(size: DecisionSize) {
    this.#size = size;
    this.#zipf = new ZipfSampler(size.adapters, ZIPF_EXPONENT);
    for (let index = 0; index < size.engines; index += 1) {
      this.#policy.handle(instant(0), {
        kind: "engine_started",
        engine: engineId(`engine-${index}`),
        capacity: CAPACITY,
      });
    }
  }

  run(): void {
    const rate = this.#size.engines * REQUESTS_PER_SECOND_PER_ENGINE;
    const gap = MILLISECONDS_PER_SECOND / rate;
    for (let index = 0; index < REQUESTS; index += 1) {
      this.#now += -Math.log(1 - this.#random.next()) * gap;
      this.#completeDue(this.#loads);
      this.#completeDue(this.#answers);
      this.#policy.handle(instant(this.#now), {
        kind: "request_arrived",
        queued: this.#request(index),
      });
      this.#decide();
    }
  }

  #decide(): void {
    for (const order of this.#policy.decide(instant(this.#now))) {
      this.#applyOrder(order);
    }
  }

  #applyOrder(order: DeploymentOrder): void {
    switch (order.kind) {
      case "dispatch":
        this.dispatched += 1;
        this.#answers.push({ at: this.#now + ANSWER_MILLISECONDS, order });
        break;
      case "load":
      case "evict":
        this.#loads.push({ at: this.#now + LOAD_MILLISECONDS, order });
        break;
      case "refuse":
        this.refused += 1;
        break;
      case "preempt":
        break;
    }
  }

  #completeDue(pending: PendingCompletion[]): void {
    for (;;) {
      const [first] = pending;
      if (first === undefined || first.at > this.#now) return;
      pending.shift();
      this.#complete(first.order);
      this.#decide();
    }
  }

  #complete(order: DeploymentOrder): void {
    const now = instant(this.#now);
    if (order.kind === "load") {
      const { engine, adapter } = order;
      this.#policy.handle(now, {
        kind: "load_ended",
        engine,
        adapter,
        loaded: true,
      });
    } else if (order.kind === "evict") {
      const { engine, adapter } = order;
      this.#policy.handle(now, { kind: "eviction_ended", engine, adapter });
    } else if (order.kind === "dispatch") {
      const { engine, request } = order;
      this.#policy.handle(now, { kind: "first_token", engine, request });
      this.#policy.handle(now, {
        kind: "request_ended",
        engine,
        request,
        generatedTokens: 100,
      });
    }
  }

  #request(index: number): QueuedRequest {
    return {
      request: requestId(`r-${index}`),
      adapter: {
        adapter: adapterId(`adapter-${this.#zipf.next(this.#rankGenerator)}`),
        version: adapterVersion("v1"),
      },
      class: classId("drafting"),
      tenant: tenantId(`tenant-${index % 5}`),
      firstTokenTarget: milliseconds(1_200),
      waitedBefore: milliseconds(0),
      promptTokens: 200,
      maximumTokens: 100,
    };
  }
}
