import { type Duration, milliseconds } from "../shared/mod.ts";

/** Up to so many nodes read the log as often as each of them would alone. */
const FEW_READERS = 12;
/**
 * For each further reader, a node waits so many milliseconds for more records
 * before it reads again. As 61 nodes start, each writes a record, and each
 * record would end a waiting read of each node: 3,700 reads, and 600 with
 * 196 ms of pause. It stays below the 250 ms in which nodes look at claims.
 */
const GATHERING_PER_READER = 4;

/**
 * Tells how long a node that has read records of all nodes waits before it
 * reads on, so that the reads in a second don't grow with the square of the
 * nodes.
 * @param readers How many nodes read the log.
 * @returns The pause; none in a small system.
 */
export function gatheringPause(readers: number): Duration {
  return milliseconds(
    GATHERING_PER_READER * Math.max(0, readers - FEW_READERS),
  );
}

/**
 * Tells whether so many nodes read the log that those which are told of what
 * others read should not wait for records themselves.
 * @param readers How many nodes read the log.
 * @returns Whether it is so.
 */
export function isCrowded(readers: number): boolean {
  return readers > FEW_READERS;
}

/**
 * Tells how long a node that is told of what others read pauses between its
 * own reads, which are for the case that nobody tells it.
 * @param pause The time in a system of twelve nodes.
 * @param readers How many nodes read the log.
 * @returns The pause; none in a small system, whose nodes wait for records.
 */
export function pauseOfTold(pause: Duration, readers: number): Duration {
  return isCrowded(readers) ? sharedPause(pause, readers) : milliseconds(0);
}

/** Between two calls while the log fails them, where few nodes read it. */
const FAILURE_PAUSE = milliseconds(150);

/**
 * Tells how long a node waits after failed calls, so that many nodes don't
 * press a log that is down: one in reach again is told of by those few that
 * watch it for others. After the first failure there is no pause: mostly only
 * its connection had fallen silent, and a new one is open in a moment.
 * @param failures Calls that failed in a row.
 * @param readers How many nodes read the log.
 * @param triesFirst Whether this one is of the few that try for the others.
 * @returns The time until the next call.
 */
export function pauseAfterFailures(
  failures: number,
  readers: number,
  triesFirst: boolean,
): Duration {
  if (failures <= 1) return milliseconds(0);
  return triesFirst ? FAILURE_PAUSE : sharedPause(FAILURE_PAUSE, readers);
}

/**
 * Stretches the time between two reads of a node that is told by others of
 * what it has not read, so that all nodes together read as often as a few do.
 * @param pause The time in a small system.
 * @param readers How many nodes read the log.
 * @returns The time.
 */
export function sharedPause(pause: Duration, readers: number): Duration {
  return milliseconds(pause * Math.max(1, readers / FEW_READERS));
}
