import {
  elapsed,
  type Instant,
  type LogOffset,
  milliseconds,
  seconds,
} from "../shared/mod.ts";

/** When snapshots are written. */
export const SNAPSHOT_SCHEDULE = {
  /** At most half of the shortest time that the log retains records. */
  interval: seconds(600),
  records: 2_000,
  /** The additional wait of each next candidate if no earlier one wrote. */
  grace: seconds(15),
} as const;

/** The inputs that determine whether a snapshot is due. */
export interface SnapshotScheduleInput {
  readonly now: Instant;
  /** When this node last saw a snapshot in the stream, or started reading. */
  readonly lastSeenAt: Instant;
  readonly recordsSince: number;
  /** The offset that the newest snapshot covers; undefined if none was seen. */
  readonly covers: LogOffset | undefined;
  /** The oldest record that the log still retains. */
  readonly firstKept: LogOffset;
  /** This node's rank among the candidates; rank 0 writes first. */
  readonly rank: number;
}

/**
 * Checks whether this node should write a snapshot now. Every node checks. The
 * first candidate in rendezvous order writes; each next one writes only if the
 * candidates before it let the grace time pass. Two writers are harmless:
 * snapshots that cover the same offset are equal.
 * @param input The node's current knowledge.
 * @param schedule When snapshots are written.
 * @returns Whether to write a snapshot.
 */
export function isSnapshotDue(
  input: SnapshotScheduleInput,
  schedule: {
    readonly interval: number;
    readonly records: number;
    readonly grace: number;
  } = SNAPSHOT_SCHEDULE,
): boolean {
  const rankDelay = milliseconds(schedule.grace * input.rank);
  const sinceLast = elapsed(input.lastSeenAt, input.now);
  if (sinceLast >= schedule.interval + rankDelay) return true;
  const hasUncoveredRecords = input.firstKept > (input.covers ?? -1) + 1;
  const hasManyRecords = input.recordsSince >= schedule.records;
  return (hasUncoveredRecords || hasManyRecords) && sinceLast >= rankDelay;
}
