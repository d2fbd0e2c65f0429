import type { DeploymentPolicy, Instant } from "@foxtailwind/core";
import { DeploymentSimulation } from "../simulation/deployment_simulation.ts";
import type { RequestRecord } from "../simulation/request_ledger.ts";
import type { ClassProfile, Workload } from "../workloads/workload.ts";
import { absorptionSeconds } from "./shift_absorption.ts";
import { mean, quantile, sum } from "./summary_statistics.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const BUCKET_MILLISECONDS = 5_000;

/** What one class saw in one run. */
export interface ClassResult {
  readonly class: string;
  readonly interactive: boolean;
  readonly requests: number;
  /** Load-stall seconds per 1,000 requests, refused ones included. */
  readonly stallPerThousand: number;
  readonly stallP50: number;
  readonly stallP95: number;
  readonly stallP99: number;
  /** The share that met the target; refused requests missed it. */
  readonly attainment: number;
  readonly refused: number;
  readonly interrupted: number;
  readonly firstTokenP95: number;
}

/** What one policy did with one workload. */
export interface RunResult {
  readonly policy: string;
  readonly workload: Workload;
  readonly classes: readonly ClassResult[];
  readonly stallSeconds: number;
  readonly interactiveStallSeconds: number;
  readonly stallPerThousand: number;
  readonly interactiveStallPerThousand: number;
  readonly interactiveAttainment: number;
  readonly batchFill: number;
  readonly refused: number;
  readonly loads: number;
  readonly failedLoads: number;
  readonly evictions: number;
  readonly preemptions: number;
  readonly decisions: number;
  readonly decisionMicroseconds: number;
  readonly decisionP99Microseconds: number;
  /** Mean stall in seconds of the requests of each 5 s of arrivals. */
  readonly stallSeries: readonly number[];
  /** Absent where the stall did not come back within a minute. */
  readonly shiftAbsorbedSeconds: number | undefined;
  readonly endedAt: Instant;
}

/**
 * Runs a policy through a workload and takes its measures.
 * @param workload The workload.
 * @param policy The policy, fresh, with its name.
 * @returns The measures.
 */
export function measureRun(
  workload: Workload,
  policy: { readonly name: string; readonly policy: DeploymentPolicy },
): RunResult {
  const simulation = new DeploymentSimulation(workload, policy.policy);
  simulation.run();
  const records = simulation.ledger.records.filter((record) =>
    record.work.arrival >= workload.measuredFrom
  );
  const interactive = records.filter((record) =>
    classOf(workload, record).interactive
  );
  const { use, counts, clock } = simulation;
  return {
    policy: policy.name,
    workload,
    classes: workload.classes.map((profile) =>
      classResult(
        profile,
        records.filter((record) => record.work.class === profile.class),
      )
    ),
    stallSeconds: sum(records.map(stallSeconds)),
    interactiveStallSeconds: sum(interactive.map(stallSeconds)),
    stallPerThousand: perThousand(records),
    interactiveStallPerThousand: perThousand(interactive),
    interactiveAttainment: mean(
      interactive.map((record) =>
        meetsTarget(record, classOf(workload, record)) ? 1 : 0
      ),
    ),
    batchFill: use.sequences / Math.max(1, use.places),
    refused: records.filter((record) => record.end === "refused").length,
    ...counts,
    decisions: clock.decisions,
    decisionMicroseconds: clock.meanMicroseconds,
    decisionP99Microseconds: clock.percentileMicroseconds(99),
    stallSeries: stallSeries(workload, simulation.ledger.records),
    shiftAbsorbedSeconds: absorptionSeconds(workload, interactive),
    endedAt: Math.max(
      ...records.map((record) => record.endedAt ?? 0),
    ) as Instant,
  };
}

function classResult(
  profile: ClassProfile,
  records: readonly RequestRecord[],
): ClassResult {
  const stalls = records.map(stallSeconds);
  const firstTokens = records.flatMap((record) => firstTokenSeconds(record));
  return {
    class: profile.class,
    interactive: profile.interactive,
    requests: records.length,
    stallPerThousand: perThousand(records),
    stallP50: quantile(stalls, 0.5),
    stallP95: quantile(stalls, 0.95),
    stallP99: quantile(stalls, 0.99),
    attainment: mean(
      records.map((record) => meetsTarget(record, profile) ? 1 : 0),
    ),
    refused: records.filter((record) => record.end === "refused").length,
    interrupted:
      records.filter((record) => record.end === "interrupted").length,
    firstTokenP95: quantile(firstTokens, 0.95),
  };
}

function classOf(workload: Workload, record: RequestRecord): ClassProfile {
  return workload.classes.find((profile) =>
    profile.class === record.work.class
  ) as ClassProfile;
}

function stallSeconds(record: RequestRecord): number {
  return record.stallMilliseconds / MILLISECONDS_PER_SECOND;
}

function perThousand(records: readonly RequestRecord[]): number {
  return mean(records.map(stallSeconds)) * 1_000;
}

function firstTokenSeconds(record: RequestRecord): readonly number[] {
  if (record.firstTokenAt === undefined) return [];
  const waited = record.firstTokenAt - record.work.arrival;
  return [waited / MILLISECONDS_PER_SECOND];
}

function meetsTarget(record: RequestRecord, profile: ClassProfile): boolean {
  if (record.end === "refused" || record.firstTokenAt === undefined) {
    return false;
  }
  const waited = record.firstTokenAt - record.work.arrival;
  return waited <= profile.firstTokenTarget;
}

function stallSeries(
  workload: Workload,
  records: readonly RequestRecord[],
): readonly number[] {
  const buckets = Math.ceil(workload.lastArrival / BUCKET_MILLISECONDS);
  const stalls = Array.from({ length: buckets }, (): number[] => []);
  for (const record of records) {
    if (!classOf(workload, record).interactive) continue;
    const bucket = Math.floor(record.work.arrival / BUCKET_MILLISECONDS);
    stalls[bucket]?.push(stallSeconds(record));
  }
  return stalls.map(mean);
}
