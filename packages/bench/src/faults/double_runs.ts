import * as z from "zod";
import type { CallRecord } from "./call_record.ts";

/** What the booking service counted against what callers were told. */
export interface BookingAudit {
  readonly calls: number;
  /** Keys that ran more than once: must be none. */
  readonly doubled: readonly string[];
  /** Keys that ran though the caller was told `not_run`: must be none. */
  readonly ranThoughNotRun: readonly string[];
  /** Keys that did not run though the caller got an answer: must be none. */
  readonly answeredButNotRun: readonly string[];
}

const countersSchema = z.object({
  runsByKey: z.record(z.string(), z.number()),
});

/**
 * Compares the service's own counts with the callers' records.
 * @param servers The service's `http://` addresses.
 * @param records All requests of the run.
 * @returns What does not agree.
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
    doubled: keysWhere(bookings, (record) => runsOf(runs, record) > 1),
    ranThoughNotRun: keysWhere(
      bookings,
      (record) => record.verdict === "not_run" && runsOf(runs, record) > 0,
    ),
    answeredButNotRun: keysWhere(
      bookings,
      (record) => record.verdict === "whole" && runsOf(runs, record) === 0,
    ),
  };
}

function runsOf(runs: ReadonlyMap<string, number>, record: CallRecord): number {
  return runs.get(record.key) ?? 0;
}

function keysWhere(
  records: readonly CallRecord[],
  matches: (record: CallRecord) => boolean,
): readonly string[] {
  return records.filter(matches).map((record) => record.key);
}
