import { type Instant, seconds } from "@foxtailwind/core";
import type { RequestRecord } from "../simulation/request_ledger.ts";
import type { Workload } from "../workloads/workload.ts";
import { mean } from "./summary_statistics.ts";

const WINDOW = seconds(10);
const BEFORE = seconds(60);
const LONGEST = seconds(60);
const STEP = seconds(1);
const TOLERATED_FACTOR = 1.5;
const TOLERATED_MILLISECONDS = 50;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Measures how long a popularity shift shows in the load stall: the time from
 * the shift to the start of the first 10 s whose requests stall, on average,
 * at most 1.5 times as long, plus 50 ms, as those of the minute before.
 * @param workload The workload.
 * @param records The requests that count.
 * @returns Seconds, or nothing where it shows for over a minute.
 */
export function absorptionSeconds(
  workload: Workload,
  records: readonly RequestRecord[],
): number | undefined {
  const shift = workload.incidents.find((incident) =>
    incident.kind === "popularity_shift"
  );
  if (shift === undefined) return undefined;
  const before = meanStall(records, [shift.at - BEFORE, shift.at]);
  const tolerated = before * TOLERATED_FACTOR + TOLERATED_MILLISECONDS;
  for (let after = 0; after <= LONGEST; after += STEP) {
    const from = shift.at + after;
    if (meanStall(records, [from, from + WINDOW]) <= tolerated) {
      return after / MILLISECONDS_PER_SECOND;
    }
  }
  return undefined;
}

function meanStall(
  records: readonly RequestRecord[],
  [from, until]: readonly [number, number],
): number {
  const within = (arrival: Instant) => arrival >= from && arrival < until;
  return mean(
    records.filter((record) => within(record.work.arrival))
      .map((record) => record.stallMilliseconds),
  );
}
