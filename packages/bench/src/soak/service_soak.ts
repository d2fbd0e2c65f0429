import {
  assertInvariant,
  type BackendServerId,
  type RequestId,
  SERVICE_POLICY,
} from "@foxtailwind/core";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type {
  ModelServer,
  ModelServerFaults,
} from "../services/model_server.ts";
import {
  type CallReport,
  LIST_LAG_MILLISECONDS,
  ModelWorld,
} from "../services/model_world.ts";

/** A randomised run of service routing. */
export interface ServiceSoakOptions {
  /** The same seed gives the same run. */
  readonly seed: number;
  /** How many calls are made; faults come and go between them. */
  readonly steps: number;
}

/** What happened in a randomised run, for reports. */
export interface ServiceSoakReport {
  readonly calls: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly cancelled: number;
  readonly runs: number;
}

const NODES = 3;
const SERVERS = 5;
const DOMAINS = 3;
const WORKERS = 2;
const MEAN_MILLISECONDS = 8;
const TARGET_MILLISECONDS = 80;
const MOST_ATTEMPTS = 3;
const GAP_MILLISECONDS = 2;
const NOT_REPEATABLE_SHARE = 0.4;
const CANCEL_SHARE = 0.05;
const FAULT_SHARE = 0.02;
/** The list's lag, and two seconds after a node has learned of it. */
const NO_NEW_WORK_AFTER_MILLISECONDS = LIST_LAG_MILLISECONDS + 2_000;
const NO_WORK_FOR_MILLISECONDS = 1_900;
const RELISTED_AFTER_MILLISECONDS = 5_000;
const FAULT_KINDS = 8;

/**
 * Makes calls while servers slow down, fail, lose answers, hang, leave and
 * come back, and asserts what must always hold.
 * @param options The seed and the length.
 * @returns What happened.
 */
export function runServiceSoak(options: ServiceSoakOptions): ServiceSoakReport {
  return new ServiceSoak(options).run();
}

class ServiceSoak {
  readonly #steps: number;
  readonly #world: ModelWorld;
  readonly #reports = new Map<RequestId, CallReport>();
  #calls = 0;
  #cancelled = 0;

  constructor({ seed, steps }: ServiceSoakOptions) {
    this.#steps = steps;
    this.#world = new ModelWorld({
      seed,
      nodeCount: NODES,
      serverCount: SERVERS,
      failureDomainCount: DOMAINS,
      workersPerServer: WORKERS,
      meanServiceTimeMilliseconds: MEAN_MILLISECONDS,
      target: {
        firstTokenMilliseconds: TARGET_MILLISECONDS,
        wholeAnswerMilliseconds: TARGET_MILLISECONDS,
      },
      policy: SERVICE_POLICY,
    });
  }

  run(): ServiceSoakReport {
    this.#next();
    while (this.#world.timeline.runNext()) { /* Runs to the end. */ }
    this.#checkEnds();
    for (const report of this.#reports.values()) this.#checkCall(report);
    return this.#summary();
  }

  #next(): void {
    if (this.#calls >= this.#steps) return;
    if (this.#world.drawBoolean(FAULT_SHARE)) this.#changeFault();
    this.#call();
    const gap = uniformInt(this.#world.random, 0, GAP_MILLISECONDS * 2);
    this.#world.timeline.schedule(gap, () => {
      this.#next();
    });
  }

  #call(): void {
    this.#calls += 1;
    const isRepeatable = !this.#world.drawBoolean(NOT_REPEATABLE_SHARE);
    let isOpen = true;
    const cancel = this.#world.call(isRepeatable, (report) => {
      isOpen = false;
      assertInvariant(
        !this.#reports.has(report.id),
        "call_ends_once",
        () => `Call ${report.id} ended twice.`,
      );
      this.#reports.set(report.id, report);
    });
    if (!this.#world.drawBoolean(CANCEL_SHARE)) return;
    this.#world.timeline.schedule(MEAN_MILLISECONDS, () => {
      if (!isOpen) return;
      this.#cancelled += 1;
      cancel();
    });
  }

  #changeFault(): void {
    const index = uniformInt(this.#world.random, 0, SERVERS - 1);
    const chosen = [...this.#world.servers][index];
    if (chosen === undefined) return;
    const [id, server] = chosen;
    const kind = uniformInt(this.#world.random, 0, FAULT_KINDS);
    if (kind === FAULT_KINDS) this.#leave(id, server);
    else Object.assign(server.faults, FAULTS[kind]);
  }

  /** The server leaves and comes back as new, once the list forgot it. */
  #leave(id: BackendServerId, server: ModelServer): void {
    if (server.faults.isLeaving) return;
    server.faults.isLeaving = true;
    this.#world.listAsLeaving(id);
    this.#world.timeline.schedule(NO_NEW_WORK_AFTER_MILLISECONDS, () => {
      this.#expectNoWork(id, server);
    });
    this.#world.timeline.schedule(RELISTED_AFTER_MILLISECONDS, () => {
      server.faults.isClosed = true;
      this.#world.setListed(id, false);
    });
    this.#world.timeline.schedule(RELISTED_AFTER_MILLISECONDS * 2, () => {
      Object.assign(server.faults, HEALTHY, { isLeaving: false });
      this.#world.setListed(id, true);
    });
  }

  #expectNoWork(id: BackendServerId, server: ModelServer): void {
    const { receivedCallCount: received } = server;
    this.#world.timeline.schedule(NO_WORK_FOR_MILLISECONDS, () => {
      assertInvariant(
        server.receivedCallCount === received,
        "leaving_server_gets_no_new_work",
        () =>
          `Server ${id} is leaving and got ${
            server.receivedCallCount - received
          }.`,
      );
    });
  }

  #checkEnds(): void {
    const ended = this.#reports.size + this.#cancelled;
    assertInvariant(
      ended === this.#calls,
      "every_call_ends",
      () => `${ended} of ${this.#calls} calls ended.`,
    );
    for (const node of this.#world.nodes) {
      const open = node.router.pending + node.openAttempts;
      assertInvariant(
        open === 0,
        "no_call_is_left_behind",
        () => `${open} calls or attempts are open at the end.`,
      );
      assertInvariant(
        node.router.servers.every((server) => server.inFlight === 0),
        "every_place_is_given_back",
        () => "A server has attempts in flight at the end.",
      );
    }
  }

  #checkCall({ id, repeatable, outcome: end }: CallReport): void {
    const runs = this.#runsOf(id);
    assertInvariant(
      repeatable || runs <= 1,
      "not_repeatable_runs_at_most_once",
      () => `Call ${id} ran ${runs} times.`,
    );
    assertInvariant(
      runs <= MOST_ATTEMPTS,
      "attempts_are_bounded",
      () => `Call ${id} ran ${runs} times.`,
    );
    const isNotRun = end.kind === "failed" && end.failure.outcome === "not_run";
    assertInvariant(
      !isNotRun || runs === 0,
      "not_run_was_not_run",
      () => `Call ${id} was said not to have run, and ran ${runs} times.`,
    );
  }

  #runsOf(id: RequestId): number {
    let runs = 0;
    for (const server of this.#world.servers.values()) {
      runs += server.runsByCall.get(id) ?? 0;
    }
    return runs;
  }

  #summary(): ServiceSoakReport {
    const ends = [...this.#reports.values()].map((report) => report.outcome);
    const failures = ends.flatMap((end) =>
      end.kind === "failed" ? [end.failure.outcome] : []
    );
    const ids = [...this.#reports.keys()];
    return {
      calls: this.#calls,
      answered: ends.length - failures.length,
      notRun: failures.filter((outcome) => outcome === "not_run").length,
      unknown: failures.filter((outcome) => outcome === "unknown").length,
      cancelled: this.#cancelled,
      runs: ids.reduce((sum, id) => sum + this.#runsOf(id), 0),
    };
  }
}

const HEALTHY: Partial<ModelServerFaults> = {
  slowdown: 1,
  failShare: 0,
  refuseShare: 0,
  dropShare: 0,
  loseShare: 0,
  isHanging: false,
  isClosed: false,
};

/** Faults to put on a server; the empty ones let it recover more often. */
const FAULTS: readonly Partial<ModelServerFaults>[] = [
  HEALTHY,
  HEALTHY,
  { slowdown: 20 },
  { failShare: 0.5 },
  { refuseShare: 0.5 },
  { dropShare: 0.5 },
  { loseShare: 0.5 },
  { isHanging: true },
];
