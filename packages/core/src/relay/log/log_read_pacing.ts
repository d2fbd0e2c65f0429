import { type Duration, milliseconds } from "../../shared/mod.ts";

/** Up to this many nodes read the log without pacing. */
const UNPACED_READERS = 12;
/**
 * For each further reader, a node waits this many milliseconds for more records
 * before it reads again. When 61 nodes start, each writes a record, and each
 * record would end a waiting read of each node: 3,700 reads, or 600 with a
 * pause of 196 ms. The pause stays below the 250 ms interval at which nodes
 * check claims.
 */
const BATCHING_MILLISECONDS_PER_READER = 4;

/**
 * Returns how long a node that has read records of all nodes waits before its
 * next read, so that the read rate doesn't grow with the square of the number
 * of nodes.
 * @param readers The number of nodes that read the log.
 * @returns The pause; 0 in a small cluster.
 */
export function batchingPause(readers: number): Duration {
  return milliseconds(
    BATCHING_MILLISECONDS_PER_READER * Math.max(0, readers - UNPACED_READERS),
  );
}

/**
 * Checks whether so many nodes read the log that nodes which receive records
 * from others should not wait for records themselves.
 * @param readers The number of nodes that read the log.
 * @returns Whether there are many readers.
 */
export function hasManyReaders(readers: number): boolean {
  return readers > UNPACED_READERS;
}

/**
 * Returns the pause between a node's own reads while other nodes forward
 * records to it. These reads cover the case that no node forwards any.
 * @param pause The pause in a cluster of twelve nodes.
 * @param readers The number of nodes that read the log.
 * @returns The pause; 0 in a small cluster, whose nodes wait for records.
 */
export function notifiedReaderPause(
  pause: Duration,
  readers: number,
): Duration {
  return hasManyReaders(readers)
    ? scaledPause(pause, readers)
    : milliseconds(0);
}

/** The pause between calls while the log fails them and few nodes read it. */
const FAILURE_PAUSE = milliseconds(150);

/**
 * Returns how long a node waits after failed calls, so that many nodes don't
 * overload a log that is down: the few nodes that probe it tell the others once
 * it is reachable. There is no pause after the first failure: usually only the
 * connection had gone silent, and a new one opens at once.
 * @param failures The number of consecutive failed calls.
 * @param readers The number of nodes that read the log.
 * @param isProbing Whether this node is one of the few that probe for others.
 * @returns The time until the next call.
 */
export function pauseAfterFailures(
  failures: number,
  readers: number,
  isProbing: boolean,
): Duration {
  if (failures <= 1) return milliseconds(0);
  return isProbing ? FAILURE_PAUSE : scaledPause(FAILURE_PAUSE, readers);
}

/**
 * Scales the interval between the reads of a node that is also informed by
 * others, so that all nodes together read as often as a few do.
 * @param pause The interval in a small cluster.
 * @param readers The number of nodes that read the log.
 * @returns The interval.
 */
export function scaledPause(pause: Duration, readers: number): Duration {
  return milliseconds(pause * Math.max(1, readers / UNPACED_READERS));
}
