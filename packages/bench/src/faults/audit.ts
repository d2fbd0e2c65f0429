import type { CallRecord } from "./call_record.ts";
import type { StruckFault } from "./fault.ts";

/** What a fault cost the callers. */
export interface FaultCost {
  readonly fault: string;
  readonly requests: number;
  readonly whole: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly ran: number;
  /** Broken off or unanswered at a node that the fault struck. */
  readonly ownInFlight: number;
  /** Broken off or unanswered elsewhere: must be zero. */
  readonly cut: number;
  readonly lost: number;
  readonly misdelivered: number;
  readonly longestFirstTokenMilliseconds: number;
}

/**
 * Adds up what each fault cost.
 * @param records All requests of the run.
 * @param faults The faults and when they were watched.
 * @returns A cost for each fault.
 */
export function auditFaults(
  records: readonly CallRecord[],
  faults: readonly StruckFault[],
): readonly FaultCost[] {
  return faults.map((struck) => auditFault(records, struck));
}

function auditFault(
  records: readonly CallRecord[],
  { fault, from, to }: StruckFault,
): FaultCost {
  const own = records.filter((record) =>
    record.endedAt >= from && record.endedAt < to
  );
  const struck = fault.costsNode?.split(",") ?? [];
  const broken = own.filter((record) =>
    record.verdict === "cut" || record.verdict === "lost"
  );
  const ownInFlight = broken.filter((record) => struck.includes(record.node));
  const elsewhere = broken.filter((record) => !struck.includes(record.node));
  return {
    fault: fault.name,
    requests: own.length,
    whole: count(own, "whole"),
    notRun: count(own, "not_run"),
    unknown: count(own, "unknown"),
    ran: count(own, "ran"),
    ownInFlight: ownInFlight.length,
    cut: count(elsewhere, "cut"),
    lost: count(elsewhere, "lost"),
    misdelivered: count(own, "misdelivered"),
    longestFirstTokenMilliseconds: Math.max(
      0,
      ...own.map((record) => (record.firstTokenAt ?? 0) - record.sentAt),
    ),
  };
}

function count(
  records: readonly CallRecord[],
  verdict: CallRecord["verdict"],
): number {
  return records.filter((record) => record.verdict === verdict).length;
}
