import { build } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { type CallReport, ModelWorld } from "./model_world.ts";
import type { NamedPolicy } from "./service_policies.ts";
import { FAULTY_SERVER, type ServiceScenario } from "./service_scenarios.ts";

/** The figures of one policy in one scenario. */
export interface ServiceFigures {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
  /** The share of calls answered well within the target. */
  readonly withinTarget: number;
  /** The share of calls that failed, or of which nothing is known. */
  readonly errors: number;
  /** The share of calls refused as not run. */
  readonly refused: number;
  /** Runs at the faulty server for each 1,000 calls. */
  readonly faultyRuns: number;
  /** Runs for each call. */
  readonly runsEach: number;
}

const SERVERS = 6;
const NODES = 6;
const DOMAINS = 3;
const WORKERS = 4;
const MEAN_MILLISECONDS = 10;
const TARGET_MILLISECONDS = 100;
const NOT_REPEATABLE_SHARE = 0.1;
const LOAD_MILLISECONDS = 20_000;
const UNITS_PER_MILLISECOND = 100;
const FIRST_FAILURE_STATUS = 500;
const PER_THOUSAND = 1_000;

/**
 * Measures one policy in one scenario, in virtual time.
 * @param scenario What happens.
 * @param named The policy.
 * @param seed The same seed gives the same figures.
 * @returns The figures.
 */
export function measureServices(
  scenario: ServiceScenario,
  named: NamedPolicy,
  seed: number,
): ServiceFigures {
  const world = new ModelWorld({
    seed,
    nodes: NODES,
    servers: SERVERS,
    domains: DOMAINS,
    workers: WORKERS,
    meanMilliseconds: MEAN_MILLISECONDS,
    target: {
      firstTokenMilliseconds: TARGET_MILLISECONDS,
      wholeAnswerMilliseconds: TARGET_MILLISECONDS,
    },
    policy: named.policy,
  });
  const reports: CallReport[] = [];
  scenario.begin(world);
  sendLoad(world, scenario.load, reports);
  while (world.timeline.step()) { /* Runs to the end. */ }
  return figuresOf(reports, world, {
    scenario: scenario.name,
    policy: named.name,
    seed,
  });
}

function sendLoad(
  world: ModelWorld,
  load: number,
  reports: CallReport[],
): void {
  const perMillisecond = load * SERVERS * WORKERS / MEAN_MILLISECONDS;
  const next = (): void => {
    if (world.timeline.now >= LOAD_MILLISECONDS) return;
    world.call(!world.happens(NOT_REPEATABLE_SHARE), (report) => {
      reports.push(report);
    });
    const gap = -Math.log(1 - uniformFloat64(world.random)) / perMillisecond;
    world.timeline.after(gap, next);
  };
  world.timeline.after(0, next);
}

function figuresOf(
  reports: readonly CallReport[],
  world: ModelWorld,
  names: Pick<ServiceFigures, "scenario" | "policy" | "seed">,
): ServiceFigures {
  const latencies = build({ numberOfSignificantValueDigits: 3 });
  let within = 0;
  let refused = 0;
  for (const { end, milliseconds } of reports) {
    if (isGood(end)) {
      latencies.recordValue(Math.round(milliseconds * UNITS_PER_MILLISECOND));
      if (milliseconds <= TARGET_MILLISECONDS) within += 1;
    } else if (end.kind === "failed" && end.failure.outcome === "not_run") {
      refused += 1;
    }
  }
  const total = reports.length;
  return {
    ...names,
    medianMilliseconds: latencies.getValueAtPercentile(50) /
      UNITS_PER_MILLISECOND,
    p99Milliseconds: latencies.getValueAtPercentile(99) /
      UNITS_PER_MILLISECOND,
    withinTarget: within / total,
    errors: (total - refused - latencies.totalCount) / total,
    refused: refused / total,
    faultyRuns: runsAt(world, FAULTY_SERVER) * PER_THOUSAND / total,
    runsEach: [...world.servers.keys()]
      .reduce((sum, id) => sum + runsAt(world, id), 0) / total,
  };
}

function isGood(end: CallReport["end"]): boolean {
  return end.kind === "answered" && end.status < FIRST_FAILURE_STATUS;
}

function runsAt(world: ModelWorld, id: typeof FAULTY_SERVER): number {
  let runs = 0;
  for (const count of world.servers.get(id)?.runs.values() ?? []) runs += count;
  return runs;
}
