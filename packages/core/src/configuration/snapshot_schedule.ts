import {
  elapsed,
  type Instant,
  type LogOffset,
  milliseconds,
  seconds,
} from "../shared/mod.ts";

/** When snapshots are taken. */
export const SNAPSHOT_SCHEDULE = {
  /** Half or less of the shortest time that the log keeps records. */
  interval: seconds(600),
  records: 2_000,
  /** How much later each next candidate writes where those before did not. */
  grace: seconds(15),
} as const;

/** What decides whether a snapshot is due. */
export interface SnapshotView {
  readonly now: Instant;
  /** When this node last saw a snapshot in the stream, or began to read. */
  readonly lastSeenAt: Instant;
  readonly recordsSince: number;
  /** What the newest snapshot covers; nothing where none was seen. */
  readonly covers: LogOffset | undefined;
  /** The oldest record that the log still keeps. */
  readonly firstKept: LogOffset;
  /** This node's place among the candidates; 0 writes first. */
  readonly rank: number;
}

/**
 * Tells whether this node is to write a snapshot now. Every node asks, the
 * first candidate by rendezvous writes, each next one only where those before
 * it let the grace time pass. Two writers do no harm: their snapshots are
 * equal wherever they cover the same offset.
 * @param view What is known here.
 * @param schedule When snapshots are taken.
 * @returns Whether to write.
 */
export function snapshotDue(
  view: SnapshotView,
  schedule: {
    readonly interval: number;
    readonly records: number;
    readonly grace: number;
  } = SNAPSHOT_SCHEDULE,
): boolean {
  const wait = milliseconds(schedule.grace * view.rank);
  const since = elapsed(view.lastSeenAt, view.now);
  if (since >= schedule.interval + wait) return true;
  const uncovered = view.firstKept > (view.covers ?? -1) + 1;
  const many = view.recordsSince >= schedule.records;
  return (uncovered || many) && since >= wait;
}
