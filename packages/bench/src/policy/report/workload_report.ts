import { stallLowerBound } from "../bound/stall_lower_bound.ts";
import {
  type KnownFutureResult,
  scheduleKnownFuture,
} from "../bound/known_future.ts";
import type { Workload } from "../workloads/workload.ts";
import type { RunResult } from "./run_result.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** What no policy can do better than, and what known arrivals would allow. */
export interface WorkloadBounds {
  readonly stallSeconds: number;
  readonly interactiveStallSeconds: number;
  readonly onDemand: KnownFutureResult;
  readonly prefetching: KnownFutureResult;
}

/** One kind of workload over several seeds: its bounds and every run. */
export interface WorkloadReport {
  readonly name: string;
  readonly bounds: readonly WorkloadBounds[];
  readonly runs: readonly RunResult[];
}

/**
 * Computes the bounds of a workload.
 * @param workload The workload.
 * @returns The bounds.
 */
export function boundsOf(workload: Workload): WorkloadBounds {
  const all = workload.classes.map((profile) => profile.class);
  const interactive = workload.classes.filter((profile) => profile.interactive)
    .map((profile) => profile.class);
  return {
    stallSeconds: stallLowerBound(workload, new Set(all)) /
      MILLISECONDS_PER_SECOND,
    interactiveStallSeconds: stallLowerBound(workload, new Set(interactive)) /
      MILLISECONDS_PER_SECOND,
    onDemand: scheduleKnownFuture(workload, { prefetch: false }),
    prefetching: scheduleKnownFuture(workload, { prefetch: true }),
  };
}

/**
 * Finds the runs of one policy.
 * @param report The report.
 * @param policy The policy's name.
 * @returns Its runs, a seed each.
 */
export function runsOf(
  report: WorkloadReport,
  policy: string,
): readonly RunResult[] {
  return report.runs.filter((run) => run.policy === policy);
}

/**
 * Lists the policies that ran.
 * @param report The report.
 * @returns Their names, in the order of the runs.
 */
export function policiesOf(report: WorkloadReport): readonly string[] {
  return [...new Set(report.runs.map((run) => run.policy))];
}

/**
 * Compares a policy's stall with the baseline's, seed by seed.
 * @param report The report.
 * @param names The policy and the baseline.
 * @returns The ratios.
 */
export function stallRatios(
  report: WorkloadReport,
  names: { readonly policy: string; readonly baseline: string },
): readonly number[] {
  const baselines = runsOf(report, names.baseline);
  return runsOf(report, names.policy).flatMap((run) => {
    const baseline = baselines.find((other) =>
      other.workload.seed === run.workload.seed
    );
    return baseline === undefined
      ? []
      : [run.stallSeconds / Math.max(1e-9, baseline.stallSeconds)];
  });
}
