import {
  adapterKey,
  assertInvariant,
  type ClassId,
  type DeploymentOrder,
  type DeploymentPolicy,
  type Duration,
  type EngineId,
  type Instant,
  instant,
  later,
  milliseconds,
  type RequestId,
  seconds,
} from "@foxtailwind/core";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type {
  ClassProfile,
  Incident,
  Workload,
  WorkloadRequest,
} from "../workloads/workload.ts";
import { DecisionClock } from "./decision_clock.ts";
import type { EngineListener } from "./engine_model.ts";
import { EngineReporter } from "./engine_reporter.ts";
import { EventQueue } from "./event_queue.ts";
import { RequestLedger } from "./request_ledger.ts";
import { PolicyInbox, requestArrived } from "./policy_inbox.ts";
import { SimulatedEngines } from "./simulated_engines.ts";
import { SimulatedLoads } from "./simulated_loads.ts";

const SHORTEST_WAKE = milliseconds(0.1);
const LONGEST_RUN_AFTER_LAST_ARRIVAL = seconds(3_600);

/** What the weight store and the slots did in a run. */
export interface LoadCounts {
  readonly loads: number;
  readonly failedLoads: number;
  readonly evictions: number;
  readonly preemptions: number;
}

/**
 * Drives a policy through a workload in virtual time, and asserts what must
 * always hold. One deployment in one place: no network and no nodes.
 */
export class DeploymentSimulation {
  readonly ledger = new RequestLedger();
  readonly clock = new DecisionClock();
  readonly #workload: Workload;
  readonly #policy: DeploymentPolicy;
  readonly #queue = new EventQueue();
  readonly #engines: SimulatedEngines;
  readonly #inbox = new PolicyInbox(this.#queue);
  readonly #loads: SimulatedLoads;
  readonly #reporter: EngineReporter;
  readonly #classes: ReadonlyMap<ClassId, ClassProfile>;
  #preemptions = 0;
  #wakeAt: Instant | undefined;

  /**
   * @param workload What happens.
   * @param policy Who decides.
   */
  constructor(workload: Workload, policy: DeploymentPolicy) {
    this.#workload = workload;
    this.#policy = policy;
    this.#engines = new SimulatedEngines(this.#queue, workload.engines);
    const parts = {
      queue: this.#queue,
      engines: this.#engines,
      inbox: this.#inbox,
      random: xoroshiro128plus(workload.seed),
    };
    this.#loads = new SimulatedLoads({ ...parts, store: workload.store });
    this.#reporter = new EngineReporter(parts);
    this.#classes = new Map(
      workload.classes.map((profile) => [profile.class, profile]),
    );
  }

  /** What the weight store and the slots did. */
  get counts(): LoadCounts {
    const { loads, failedLoads, evictions } = this.#loads;
    const preemptions = this.#preemptions;
    return { loads, failedLoads, evictions, preemptions };
  }

  /** How fully the engines' steps were used. */
  get use(): SimulatedEngines["use"] {
    return this.#engines.use;
  }

  /** Runs until every request has ended. */
  run(): void {
    this.#scheduleWorkload();
    const limit = later(
      this.#workload.lastArrival,
      LONGEST_RUN_AFTER_LAST_ARRIVAL,
    );
    while (!this.#finished() && this.#queue.runNext()) {
      this.#decide();
      const inTime = this.#queue.now < limit;
      assertInvariant(
        inTime,
        "every_request_ends",
        () => `${this.ledger.open} requests are open.`,
      );
    }
    assertInvariant(
      this.ledger.open === 0,
      "none_lost",
      () => `${this.ledger.open} requests are open.`,
    );
  }

  #finished(): boolean {
    return this.ledger.arrivals === this.#workload.requests.length &&
      this.ledger.open === 0;
  }

  #scheduleWorkload(): void {
    for (const { engine } of this.#workload.engines) {
      this.#queue.schedule(instant(0), () => {
        this.#startEngine(engine);
      });
    }
    for (const work of this.#workload.requests) {
      this.#queue.schedule(work.arrival, () => {
        this.#arrive(work);
      });
    }
    for (const incident of this.#workload.incidents) {
      this.#queue.schedule(incident.at, () => {
        this.#begin(incident);
      });
    }
    this.#reporter.start(this.#workload.engines);
  }

  #begin(incident: Incident): void {
    switch (incident.kind) {
      case "popularity_shift":
        return;
      case "engine_restart":
        this.#stopEngine(incident.engine);
        this.#queue.schedule(
          later(incident.at, incident.downFor),
          () => {
            this.#startEngine(incident.engine);
          },
        );
        return;
      case "load_failures":
        this.#loads.failureProbability = incident.probability;
        this.#queue.schedule(incident.until, () => {
          this.#loads.failureProbability = 0;
        });
    }
  }

  #arrive(work: WorkloadRequest): void {
    this.ledger.arrived(this.#queue.now, work);
    this.#offer(work, milliseconds(0));
  }

  #offer(work: WorkloadRequest, waitedBefore: Duration): void {
    const firstTokenTarget = this.#target(work);
    this.#inbox.tell(requestArrived(work, { firstTokenTarget, waitedBefore }));
  }

  #target(work: WorkloadRequest): Duration {
    const profile = this.#classes.get(work.class);
    assertInvariant(profile !== undefined, "known_class", () => work.class);
    return profile.firstTokenTarget;
  }

  #startEngine(engine: EngineId): void {
    const run = this.#engines.start(engine, this.#listen(engine));
    const { capacity } = run.model.profile;
    this.#inbox.tell({ kind: "engine_started", engine, capacity });
  }

  #stopEngine(engine: EngineId): void {
    const run = this.#engines.stop(engine);
    this.#inbox.tell({ kind: "engine_left", engine });
    for (const request of run.model.stop()) this.#rescue(request);
  }

  #rescue(request: RequestId): void {
    const { now } = this.#queue;
    if (this.ledger.hasFirstToken(request)) {
      this.ledger.ended(now, { request, end: "interrupted" });
      return;
    }
    const work = this.ledger.returned(now, request);
    this.#offer(work, milliseconds(now - work.arrival));
  }

  #listen(engine: EngineId): EngineListener {
    return {
      firstToken: (request) => {
        this.ledger.firstToken(this.#queue.now, request);
        this.#inbox.tell({ kind: "first_token", engine, request });
      },
      ended: (request, generatedTokens) => {
        this.ledger.ended(this.#queue.now, { request, end: "answered" });
        this.#inbox.tell({
          kind: "request_ended",
          engine,
          request,
          generatedTokens,
        });
      },
      prefixStored: (work) => {
        this.#reporter.prefixStored(engine, work);
      },
    };
  }

  #decide(): void {
    const { now } = this.#queue;
    const events = this.#inbox.take();
    const wakes = this.#wakeAt !== undefined && this.#wakeAt <= now;
    if (events.length === 0 && !wakes) return;
    if (wakes) this.#wakeAt = undefined;
    const orders = this.clock.measure(() => {
      for (const event of events) this.#policy.handle(now, event);
      return this.#policy.decide(now);
    });
    for (const order of orders) this.#carryOut(order);
    this.#scheduleWake();
  }

  #scheduleWake(): void {
    const { now } = this.#queue;
    const wanted = this.#policy.nextWake(now);
    if (wanted === undefined) return;
    const wake = instant(Math.max(wanted, now + SHORTEST_WAKE));
    if (this.#wakeAt !== undefined && this.#wakeAt <= wake) return;
    this.#wakeAt = wake;
    this.#queue.schedule(wake, () => undefined);
  }

  #carryOut(order: DeploymentOrder): void {
    switch (order.kind) {
      case "dispatch":
        this.#dispatch(order);
        return;
      case "load":
        this.#loads.load(order.engine, order.adapter);
        return;
      case "evict":
        this.#loads.evict(order.engine, order.adapter);
        return;
      case "preempt":
        this.#engines.get(order.engine).model.preempt(order.request);
        this.ledger.preempted(order.request);
        this.#preemptions += 1;
        return;
      case "refuse":
        this.#refuse(order.request);
    }
  }

  #refuse(request: RequestId): void {
    const record = this.ledger.find(request);
    const target = this.#target(record.work);
    this.ledger.refused(this.#queue.now, { request, target });
  }

  #dispatch(order: DeploymentOrder & { readonly kind: "dispatch" }): void {
    const { engine, request, priority } = order;
    const { model } = this.#engines.get(engine);
    if (this.ledger.isPreempted(request)) {
      this.ledger.resumed(request, engine);
      model.resume(request, priority);
      return;
    }
    const key = adapterKey(this.ledger.find(request).work.adapter);
    const residentSince = this.#engines.residentSince(engine, key);
    const work = this.ledger.dispatched(this.#queue.now, {
      request,
      engine,
      residentSince,
    });
    model.dispatch(work, priority);
  }
}
