import Table from "cli-table3";
import type { FaultCost } from "./fault_cost.ts";
import type { ChangeTiming } from "./configuration_probe.ts";
import type { BookingAudit } from "./booking_audit.ts";
import type { InjectedFault } from "./fault.ts";
import type { GapProbe } from "./gap_probe.ts";

const PLAIN_STYLE = { head: [], border: [] };

/**
 * Formats the request outcomes during each fault as a table.
 * @param costs The outcomes for each fault.
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
    style: PLAIN_STYLE,
  });
  for (const cost of costs) {
    table.push([
      cost.fault,
      cost.requests,
      cost.whole,
      cost.notRun,
      cost.unknown,
      cost.ran,
      cost.brokenOnAffectedNodes,
      cost.cut,
      cost.lost,
      cost.misdelivered,
      cost.longestFirstTokenMilliseconds.toFixed(0),
    ]);
  }
  return table.toString();
}

/**
 * Formats the longest gap of any engine during each fault as a table.
 * @param probe The probe that polled the engines.
 * @param faults The injected faults.
 * @returns The table's text.
 */
export function formatGaps(
  probe: GapProbe,
  faults: readonly InjectedFault[],
): string {
  const table = new Table({
    head: ["fault", "engine with the longest gap", "gap ms"],
    style: PLAIN_STYLE,
  });
  for (const injectedFault of faults) {
    const gaps = [...probe.longestGaps(injectedFault.from, injectedFault.to)];
    gaps.sort((left, right) => right.to - right.from - (left.to - left.from));
    const longest = gaps[0];
    table.push([
      injectedFault.fault.name,
      longest?.engine ?? "",
      longest === undefined ? "" : (longest.to - longest.from).toFixed(0),
    ]);
  }
  return table.toString();
}

/**
 * Summarizes how long changes took to apply and the audit of the bookings.
 * @param timings The timed changes.
 * @param bookings The audit of the bookings.
 * @returns The text, in two lines.
 */
export function formatChecks(
  timings: readonly ChangeTiming[],
  bookings: BookingAudit,
): string {
  const times = timings.map((timing) => timing.appliedAfterMilliseconds)
    .sort((left, right) => left - right);
  const median = times[Math.floor(times.length / 2)] ?? 0;
  return [
    `Changes in force everywhere: ${times.length}, median ` +
    `${median.toFixed(0)} ms, longest ${(times.at(-1) ?? 0).toFixed(0)} ms.`,
    `Bookings: ${bookings.calls}; run twice: ${bookings.ranRepeatedly.length}; ` +
    `run though "not run": ${bookings.ranThoughNotRun.length}; ` +
    `answered but not run: ${bookings.answeredButNotRun.length}.`,
  ].join("\n");
}
