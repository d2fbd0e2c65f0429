import * as z from "zod";
import type { CallRecord } from "./call_record.ts";

/** Disagreements between the booking service's counts and the callers. */
export interface BookingAudit {
  readonly calls: number;
  /** Keys that ran more than once; must be empty. */
  readonly ranRepeatedly: readonly string[];
  /** Keys that ran although the caller got `not_run`; must be empty. */
  readonly ranThoughNotRun: readonly string[];
  /** Keys that never ran although the call succeeded; must be empty. */
  readonly answeredButNotRun: readonly string[];
}

const countersSchema = z.object({
  runsByKey: z.record(z.string(), z.number()),
});

/**
 * Compares the service's run counts with the callers' records.
 * @param servers The `http://` addresses of the service's backend servers.
 * @param records All requests of the run.
 * @returns The keys for which the two disagree.
 */
export async function auditBookings(
  servers: readonly string[],
  records: readonly CallRecord[],
): Promise<BookingAudit> {
  const runs = new Map<string, number>();
  for (const server of servers) {
    const answer = await fetch(`${server}/standin/counters`);
    const counters = countersSchema.parse(await answer.json());
    for (const [key, calls] of Object.entries(counters.runsByKey)) {
      runs.set(key, (runs.get(key) ?? 0) + calls);
    }
  }
  const bookings = records.filter((record) => record.kind === "booking");
  return {
    calls: bookings.length,
    ranRepeatedly: keysWhere(
      bookings,
      (record) => runCountOf(runs, record) > 1,
    ),
    ranThoughNotRun: keysWhere(
      bookings,
      (record) => record.verdict === "not_run" && runCountOf(runs, record) > 0,
    ),
    answeredButNotRun: keysWhere(
      bookings,
      (record) => record.verdict === "whole" && runCountOf(runs, record) === 0,
    ),
  };
}

function runCountOf(
  runs: ReadonlyMap<string, number>,
  record: CallRecord,
): number {
  return runs.get(record.key) ?? 0;
}

function keysWhere(
  records: readonly CallRecord[],
  matches: (record: CallRecord) => boolean,
): readonly string[] {
  return records.filter(matches).map((record) => record.key);
}
