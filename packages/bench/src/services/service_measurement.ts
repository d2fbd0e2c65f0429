import { build } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { type CallReport, ModelWorld } from "./model_world.ts";
import type { NamedPolicy } from "./service_policies.ts";
import { FAULTY_SERVER, type ServiceScenario } from "./service_scenarios.ts";

/** The measurements of one policy in one scenario. */
export interface ServiceMeasurement {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
  /** The share of calls answered without an error and within the target. */
  readonly withinTargetShare: number;
  /** The share of calls that failed or whose outcome is unknown. */
  readonly errorShare: number;
  /** The share of calls that were refused and reported as not run. */
  readonly refusedShare: number;
  /** Runs on the faulty server per 1,000 calls. */
  readonly faultyRunsPerThousandCalls: number;
  /** Mean runs per call, on all servers. */
  readonly runsPerCall: number;
}

const SERVER_COUNT = 6;
const NODE_COUNT = 6;
const FAILURE_DOMAIN_COUNT = 3;
const WORKERS_PER_SERVER = 4;
const MEAN_SERVICE_TIME_MILLISECONDS = 10;
const TARGET_MILLISECONDS = 100;
const NOT_REPEATABLE_SHARE = 0.1;
const LOAD_DURATION_MILLISECONDS = 20_000;
const HISTOGRAM_UNITS_PER_MILLISECOND = 100;
const MIN_ERROR_STATUS = 500;
const PER_THOUSAND = 1_000;

/**
 * Measures one policy in one scenario, in virtual time.
 * @param scenario The load and the faults.
 * @param namedPolicy The policy and its name.
 * @param seed The random seed; equal seeds give equal measurements.
 * @returns The measurements.
 */
export function measureServicePolicy(
  scenario: ServiceScenario,
  namedPolicy: NamedPolicy,
  seed: number,
): ServiceMeasurement {
  const world = new ModelWorld({
    seed,
    nodeCount: NODE_COUNT,
    serverCount: SERVER_COUNT,
    failureDomainCount: FAILURE_DOMAIN_COUNT,
    workersPerServer: WORKERS_PER_SERVER,
    meanServiceTimeMilliseconds: MEAN_SERVICE_TIME_MILLISECONDS,
    target: {
      firstTokenMilliseconds: TARGET_MILLISECONDS,
      wholeAnswerMilliseconds: TARGET_MILLISECONDS,
    },
    policy: namedPolicy.policy,
  });
  const reports: CallReport[] = [];
  scenario.start(world);
  sendLoad(world, scenario.relativeLoad, reports);
  while (world.timeline.runNext()) { /* Runs until no action is left. */ }
  return summarizeReports(reports, world, {
    scenario: scenario.name,
    policy: namedPolicy.name,
    seed,
  });
}

function sendLoad(
  world: ModelWorld,
  relativeLoad: number,
  reports: CallReport[],
): void {
  const callsPerMillisecond = relativeLoad * SERVER_COUNT * WORKERS_PER_SERVER /
    MEAN_SERVICE_TIME_MILLISECONDS;
  const sendNext = (): void => {
    if (world.timeline.now >= LOAD_DURATION_MILLISECONDS) return;
    world.call(!world.drawBoolean(NOT_REPEATABLE_SHARE), (report) => {
      reports.push(report);
    });
    const interarrivalMilliseconds =
      -Math.log(1 - uniformFloat64(world.random)) / callsPerMillisecond;
    world.timeline.schedule(interarrivalMilliseconds, sendNext);
  };
  world.timeline.schedule(0, sendNext);
}

function summarizeReports(
  reports: readonly CallReport[],
  world: ModelWorld,
  labels: Pick<ServiceMeasurement, "scenario" | "policy" | "seed">,
): ServiceMeasurement {
  const latencies = build({ numberOfSignificantValueDigits: 3 });
  let withinTargetCount = 0;
  let refusedCount = 0;
  for (const { outcome: end, milliseconds } of reports) {
    if (isSuccess(end)) {
      latencies.recordValue(
        Math.round(milliseconds * HISTOGRAM_UNITS_PER_MILLISECOND),
      );
      if (milliseconds <= TARGET_MILLISECONDS) withinTargetCount += 1;
    } else if (end.kind === "failed" && end.failure.outcome === "not_run") {
      refusedCount += 1;
    }
  }
  const total = reports.length;
  return {
    ...labels,
    medianMilliseconds: latencies.getValueAtPercentile(50) /
      HISTOGRAM_UNITS_PER_MILLISECOND,
    p99Milliseconds: latencies.getValueAtPercentile(99) /
      HISTOGRAM_UNITS_PER_MILLISECOND,
    withinTargetShare: withinTargetCount / total,
    errorShare: (total - refusedCount - latencies.totalCount) / total,
    refusedShare: refusedCount / total,
    faultyRunsPerThousandCalls: countRuns(world, FAULTY_SERVER) * PER_THOUSAND /
      total,
    runsPerCall: [...world.servers.keys()]
      .reduce((sum, id) => sum + countRuns(world, id), 0) / total,
  };
}

function isSuccess(end: CallReport["outcome"]): boolean {
  return end.kind === "answered" && end.status < MIN_ERROR_STATUS;
}

function countRuns(world: ModelWorld, id: typeof FAULTY_SERVER): number {
  let runs = 0;
  for (const count of world.servers.get(id)?.runsByCall.values() ?? []) {
    runs += count;
  }
  return runs;
}
