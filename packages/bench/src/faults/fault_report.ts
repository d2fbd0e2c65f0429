import Table from "cli-table3";
import type { FaultCost } from "./audit.ts";
import type { ChangeTiming } from "./configuration_probe.ts";
import type { BookingAudit } from "./double_runs.ts";
import type { StruckFault } from "./fault.ts";
import type { GapProbe } from "./gap_probe.ts";

const PLAIN = { head: [], border: [] };

/**
 * Puts the costs of the faults into a table.
 * @param costs The costs.
 * @returns The table's text.
 */
export function formatCosts(costs: readonly FaultCost[]): string {
  const table = new Table({
    head: [
      "fault",
      "requests",
      "whole",
      "not run",
      "unknown",
      "ran",
      "own in flight",
      "cut",
      "lost",
      "misdelivered",
      "longest first token ms",
    ],
    style: PLAIN,
  });
  for (const cost of costs) {
    table.push([
      cost.fault,
      cost.requests,
      cost.whole,
      cost.notRun,
      cost.unknown,
      cost.ran,
      cost.ownInFlight,
      cost.cut,
      cost.lost,
      cost.misdelivered,
      cost.longestFirstTokenMilliseconds.toFixed(0),
    ]);
  }
  return table.toString();
}

/**
 * Tells the longest gap of any engine for each fault.
 * @param probe What watched the engines.
 * @param faults The faults.
 * @returns The table's text.
 */
export function formatGaps(
  probe: GapProbe,
  faults: readonly StruckFault[],
): string {
  const table = new Table({
    head: ["fault", "engine with the longest gap", "gap ms"],
    style: PLAIN,
  });
  for (const struck of faults) {
    const gaps = [...probe.longest(struck.from, struck.to)];
    gaps.sort((left, right) => right.to - right.from - (left.to - left.from));
    const worst = gaps[0];
    table.push([
      struck.fault.name,
      worst?.engine ?? "",
      worst === undefined ? "" : (worst.to - worst.from).toFixed(0),
    ]);
  }
  return table.toString();
}

/**
 * Tells how long changes took to be in force, and what bookings prove.
 * @param timings The changes.
 * @param bookings The bookings.
 * @returns A few lines.
 */
export function formatProofs(
  timings: readonly ChangeTiming[],
  bookings: BookingAudit,
): string {
  const times = timings.map((timing) => timing.inForceAfterMilliseconds)
    .sort((left, right) => left - right);
  const middle = times[Math.floor(times.length / 2)] ?? 0;
  return [
    `Changes in force everywhere: ${times.length}, median ` +
    `${middle.toFixed(0)} ms, longest ${(times.at(-1) ?? 0).toFixed(0)} ms.`,
    `Bookings: ${bookings.calls}; run twice: ${bookings.doubled.length}; ` +
    `run though "not run": ${bookings.ranThoughNotRun.length}; ` +
    `answered but not run: ${bookings.answeredButNotRun.length}.`,
  ].join("\n");
}
