import { SeededRandom } from "@foxtailwind/standins";
import { Timeline } from "../timeline.ts";
import {
  CrashNode,
  type CrashNodeRules,
  type SuspicionRecord,
} from "./crash_node.ts";
import { type CrashRequest, drawCrashRequest } from "./crash_request.ts";
import { type CrashScenario, RUN_MILLISECONDS } from "./crash_scenario.ts";
import { CrashServer } from "./crash_server.ts";

/** The crashes from which nodes must know the cause. */
const KNOWN_CRASHES = 5;
/** The time that nodes have to learn the cause; twice it for sound requests. */
const LEARNING_MILLISECONDS = 3_000;
/** How often a server writes to the registry. */
const REGISTRY_MILLISECONDS = 1_000;
const SERVER_DOWNTIME_MILLISECONDS = 2_500;
const NODE_DOWNTIME_MILLISECONDS = 1_000;
const DISRUPTION_MILLISECONDS = 4_000;
const KILLED_SHARE = 0.6;
const CUT_SHARE = 0.33;
/** The longest time that a request waits at a server. */
const WAIT_MILLISECONDS = 250;
const MINIMUM_RUN_MILLISECONDS = 200;
const RUN_SPREAD_MILLISECONDS = 2_500;
/** A crash comes this long after the answer begins, or up to 25 ms later. */
const CRASH_MILLISECONDS = 75;
const CRASH_SPREAD_MILLISECONDS = 25;

/** What a run of the emulation has shown. */
export interface CrashOutcome {
  /** Servers that ended under requests that crash them, by cause. */
  readonly crashes: ReadonlyMap<string, number>;
  /** Requests that were sent to servers after their cause had to be known. */
  readonly lateSends: ReadonlyMap<string, number>;
  /** Sound requests that share the first part of a known cause. */
  readonly sharing: number;
  /** How many of these began at a server. */
  readonly sharingBegun: number;
  /** Records written to the log. */
  readonly records: number;
}

/** Nodes and servers that requests with certain parts crash. */
export class CrashWorld {
  readonly #scenario: CrashScenario;
  readonly #timeline = new Timeline();
  readonly #random: SeededRandom;
  readonly #nodes: readonly CrashNode[];
  readonly #servers: readonly CrashServer[];
  readonly #log: SuspicionRecord[] = [];
  readonly #crashTimes = new Map<string, number[]>();
  readonly #lateSends = new Map<string, number>();
  #isLogUp = true;
  #logDisruptedAt = -Infinity;
  #requests = 0;
  #sharing = 0;
  #sharingBegun = 0;

  constructor(scenario: CrashScenario, rules: CrashNodeRules) {
    this.#scenario = scenario;
    this.#random = new SeededRandom(scenario.seed + 1_000_000);
    const timeline = this.#timeline;
    const world = {
      get now() {
        return timeline.now;
      },
      after: (delay: number, event: () => void) => {
        timeline.after(delay, event);
      },
      log: this.#log,
      isLogUp: () => this.#isLogUp,
      onAppended: () => {
        timeline.after(1, () => {
          this.#readLogs();
        });
      },
    };
    this.#nodes = Array.from(
      { length: scenario.nodes },
      () => new CrashNode(world, rules),
    );
    this.#servers = Array.from(
      { length: scenario.servers },
      (_, index) => new CrashServer(`server-${index}`),
    );
  }

  /** Runs the scenario. */
  run(): CrashOutcome {
    const { soundRate, crashingRate, ownEndRate, lossRate, resetRate } =
      this.#scenario;
    this.#planFaults();
    this.#repeat(soundRate, () => {
      this.#send(false);
    });
    this.#repeat(crashingRate, () => {
      this.#send(true);
    });
    this.#repeat(ownEndRate, () => {
      const server = this.#pick(this.#servers);
      if (server.isUp) this.#endServer(server);
    });
    this.#repeat(lossRate, () => {
      const node = this.#pick(this.#nodes);
      for (const server of this.#servers) {
        server.disconnect(this.#timeline.now, node);
      }
    });
    this.#repeat(resetRate, () => {
      const server = this.#pick(this.#servers);
      server.resetOne(this.#timeline.now, () => this.#random.next());
    });
    if (lossRate > 0 || resetRate > 0) this.#writeRegistry();
    this.#timeline.runUntil(RUN_MILLISECONDS, () => undefined);
    return {
      crashes: new Map(
        [...this.#crashTimes].map(([cause, times]) => [cause, times.length]),
      ),
      lateSends: this.#lateSends,
      sharing: this.#sharing,
      sharingBegun: this.#sharingBegun,
      records: this.#log.length,
    };
  }

  #planFaults(): void {
    const { killsAt, cutsAt, outagesAt } = this.#scenario;
    for (const at of killsAt) {
      this.#timeline.after(at, () => {
        for (const node of this.#nodes) {
          const isHit = this.#random.happens(KILLED_SHARE) && node.isUp;
          if (isHit) node.kill(NODE_DOWNTIME_MILLISECONDS);
        }
      });
    }
    for (const at of cutsAt) {
      this.#timeline.after(at, () => {
        for (const node of this.#nodes) {
          if (this.#random.happens(CUT_SHARE)) this.#cut(node);
        }
      });
    }
    for (const at of outagesAt) {
      this.#timeline.after(at, () => {
        this.#isLogUp = false;
      });
      this.#timeline.after(at + DISRUPTION_MILLISECONDS, () => {
        this.#isLogUp = true;
        this.#logDisruptedAt = this.#timeline.now;
        this.#readLogs();
      });
    }
  }

  #cut(node: CrashNode): void {
    node.isCut = true;
    node.lastDisrupted = this.#timeline.now + DISRUPTION_MILLISECONDS;
    this.#timeline.after(DISRUPTION_MILLISECONDS, () => {
      node.isCut = false;
      node.readLog();
    });
  }

  #send(isCrashing: boolean): void {
    this.#requests += 1;
    const request = drawCrashRequest(this.#random, this.#scenario, {
      id: this.#requests,
      isCrashing,
    });
    const node = this.#pick(this.#nodes);
    if (!node.isUp) return;
    const isMeasured = !isCrashing && this.#sharesKnownCause(request) &&
      this.#isInTouch(node);
    if (isMeasured) this.#sharing += 1;
    const servers = this.#servers.filter(({ isUp }) => isUp);
    if (servers.length === 0 || node.refuses(request)) return;
    const server = this.#pick(servers);
    const { run } = server;
    const occupant = server.admit(node, request);
    this.#timeline.after(this.#random.next() * WAIT_MILLISECONDS, () => {
      if (server.run !== run || !server.holds(occupant)) return;
      if (!node.isUp || node.withholds(request)) {
        server.release(occupant);
        return;
      }
      occupant.begunAt = this.#timeline.now;
      if (isMeasured) this.#sharingBegun += 1;
      node.recordBegun(request, server);
      this.#recordBegin(request, node);
      this.#planEnd(request, server, () => {
        server.release(occupant);
      });
    });
  }

  #planEnd(
    { cause }: CrashRequest,
    server: CrashServer,
    release: () => void,
  ): void {
    const { run } = server;
    if (cause === undefined) {
      const time = MINIMUM_RUN_MILLISECONDS +
        this.#random.next() * RUN_SPREAD_MILLISECONDS;
      this.#timeline.after(time, release);
      return;
    }
    const time = CRASH_MILLISECONDS +
      this.#random.next() * CRASH_SPREAD_MILLISECONDS;
    this.#timeline.after(time, () => {
      if (server.run !== run) return;
      this.#endServer(server);
      const times = this.#crashTimes.get(cause) ?? [];
      times.push(this.#timeline.now);
      this.#crashTimes.set(cause, times);
    });
  }

  #recordBegin({ cause }: CrashRequest, node: CrashNode): void {
    if (cause === undefined || !this.#isInTouch(node)) return;
    if (this.#timeSinceKnown(cause) <= LEARNING_MILLISECONDS) return;
    this.#lateSends.set(cause, (this.#lateSends.get(cause) ?? 0) + 1);
  }

  #sharesKnownCause({ first }: CrashRequest): boolean {
    return this.#scenario.crashingParts.some(({ position, index }) =>
      (position === 1 || index === first) &&
      this.#timeSinceKnown(`${position}-${index}`) > 2 * LEARNING_MILLISECONDS
    );
  }

  /** The time since the crash from which a cause has to become known. */
  #timeSinceKnown(cause: string): number {
    const at = this.#crashTimes.get(cause)?.[KNOWN_CRASHES - 1];
    return at === undefined ? -Infinity : this.#timeline.now - at;
  }

  #isInTouch(node: CrashNode): boolean {
    const since = this.#timeline.now - LEARNING_MILLISECONDS;
    return this.#isLogUp && this.#logDisruptedAt < since &&
      node.lastDisrupted < since;
  }

  #endServer(server: CrashServer): void {
    server.end(this.#timeline.now);
    this.#timeline.after(SERVER_DOWNTIME_MILLISECONDS, () => {
      server.isUp = true;
    });
  }

  #writeRegistry(): void {
    this.#timeline.after(REGISTRY_MILLISECONDS, () => {
      for (const { runId } of this.#servers.filter(({ isUp }) => isUp)) {
        for (const node of this.#nodes) node.recordServerWrite(runId);
      }
      this.#writeRegistry();
    });
  }

  #readLogs(): void {
    for (const node of this.#nodes) node.readLog();
  }

  /** Repeats an event at random times. */
  #repeat(rate: number, event: () => void): void {
    if (rate === 0) return;
    const pause = -Math.log(1 - this.#random.next()) * 1_000 / rate;
    this.#timeline.after(pause, () => {
      event();
      this.#repeat(rate, event);
    });
  }

  #pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.#random.next() * values.length)] as Value;
  }
}
