import { adapterKey, type ClassId, seconds } from "@foxtailwind/core";
import type { Workload, WorkloadRequest } from "../workloads/workload.ts";

const GRID_MILLISECONDS = 250;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Gives a lower bound on the total load stall of some classes' measured
 * requests, under any policy that refuses nothing, even one that knows the
 * future.
 *
 * Take any window from s to t. The slots of all engines hold at most S
 * adapters at s, those being loaded included, and the store completes at most
 * C (t - s) further loads by t. Where D distinct adapters were asked for in
 * the window, at least D - S - C (t - s) of them were at no time loaded in it,
 * and each keeps at least one request stalled at t. The bound sums, over t, the
 * most that any s gives. It ignores engines, pins, batches and prompts, and
 * lets each adapter serve all its requests in no time, so it is loose.
 * @param workload The workload.
 * @param classes Which classes' stall counts; loads for others only take time.
 * @returns Milliseconds of stall that no policy avoids.
 */
export function stallLowerBound(
  workload: Workload,
  classes: ReadonlySet<ClassId>,
): number {
  const requests = workload.requests.filter((work) =>
    work.arrival >= workload.measuredFrom && classes.has(work.class)
  );
  const cells = Math.ceil(
    (workload.lastArrival - workload.measuredFrom) / GRID_MILLISECONDS,
  );
  const unserved = new Float64Array(cells + 1);
  requests.forEach((first, index) => {
    const window = requests.slice(index);
    raise(unserved, { workload, first, window });
  });
  return unserved.reduce((sum, count) => sum + count * GRID_MILLISECONDS, 0);
}

interface Window {
  readonly workload: Workload;
  readonly first: WorkloadRequest;
  readonly window: readonly WorkloadRequest[];
}

const LONGEST_WINDOW = seconds(60);

function raise(
  unserved: Float64Array,
  { workload, first, window }: Window,
): void {
  const slots = totalSlots(workload);
  const rate = workload.store.loadsPerSecond / MILLISECONDS_PER_SECOND;
  const asked = new Set<string>();
  for (const work of window) {
    if (work.arrival - first.arrival > LONGEST_WINDOW) return;
    asked.add(adapterKey(work.adapter));
    const cell = Math.ceil(
      (work.arrival - workload.measuredFrom) / GRID_MILLISECONDS,
    );
    const cellEnds = workload.measuredFrom + (cell + 1) * GRID_MILLISECONDS;
    const loaded = slots + rate * (cellEnds - first.arrival);
    const left = asked.size - loaded;
    if (left > (unserved[cell] ?? Infinity)) unserved[cell] = left;
  }
}

/**
 * Counts the adapters that all engines of a workload hold at most.
 * @param workload The workload.
 * @returns The sum of their slots.
 */
export function totalSlots(workload: Workload): number {
  return workload.engines.reduce(
    (sum, profile) => sum + profile.capacity.adapterSlots,
    0,
  );
}
