import type { CallRecord } from "./call_record.ts";
import type { InjectedFault } from "./fault.ts";

/** How the requests that ended while a fault was observed turned out. */
export interface FaultCost {
  readonly fault: string;
  readonly requests: number;
  readonly whole: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly ran: number;
  /** Interrupted or unanswered on a node that the fault affects. */
  readonly brokenOnAffectedNodes: number;
  /** Interrupted on any other node; must be zero. */
  readonly cut: number;
  /** Unanswered on any other node; must be zero. */
  readonly lost: number;
  readonly misdelivered: number;
  readonly longestFirstTokenMilliseconds: number;
}

/**
 * Counts the outcomes of the requests that ended during each fault.
 * @param records All requests of the run.
 * @param faults The injected faults with their observation periods.
 * @returns The counts for each fault.
 */
export function auditFaults(
  records: readonly CallRecord[],
  faults: readonly InjectedFault[],
): readonly FaultCost[] {
  return faults.map((struck) => auditFault(records, struck));
}

function auditFault(
  records: readonly CallRecord[],
  { fault, from, to }: InjectedFault,
): FaultCost {
  const recordsDuringFault = records.filter((record) =>
    record.endedAt >= from && record.endedAt < to
  );
  const affectedNodes = fault.affectedNodes?.split(",") ?? [];
  const broken = recordsDuringFault.filter((record) =>
    record.verdict === "cut" || record.verdict === "lost"
  );
  const brokenOnAffectedNodes = broken.filter((record) =>
    affectedNodes.includes(record.node)
  );
  const brokenElsewhere = broken.filter((record) =>
    !affectedNodes.includes(record.node)
  );
  return {
    fault: fault.name,
    requests: recordsDuringFault.length,
    whole: count(recordsDuringFault, "whole"),
    notRun: count(recordsDuringFault, "not_run"),
    unknown: count(recordsDuringFault, "unknown"),
    ran: count(recordsDuringFault, "ran"),
    brokenOnAffectedNodes: brokenOnAffectedNodes.length,
    cut: count(brokenElsewhere, "cut"),
    lost: count(brokenElsewhere, "lost"),
    misdelivered: count(recordsDuringFault, "misdelivered"),
    longestFirstTokenMilliseconds: Math.max(
      0,
      ...recordsDuringFault.map((record) =>
        (record.firstTokenAt ?? 0) - record.sentAt
      ),
    ),
  };
}

function count(
  records: readonly CallRecord[],
  verdict: CallRecord["verdict"],
): number {
  return records.filter((record) => record.verdict === verdict).length;
}
