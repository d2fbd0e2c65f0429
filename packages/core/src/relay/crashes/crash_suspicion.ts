import {
  type BackendServerId,
  type ContentDigest,
  type Duration,
  milliseconds,
  type ServerStart,
} from "../../shared/mod.ts";
import { startKey } from "../start_history.ts";

/** A request's content, and the run of a server that it may have ended. */
export interface SuspicionKey {
  readonly content: ContentDigest;
  readonly server: BackendServerId;
  /** Omitted if the server does not tell it. */
  readonly start?: ServerStart;
}

/** The suspicion that a request ended the server that ran it. */
export interface CrashSuspicion extends SuspicionKey {
  /** From the first bytes of the answer to its end. */
  readonly ranFor: Duration;
}

/** A request that ran for longer before its server ended did not cause it. */
const MAXIMUM_SUSPECT_RUN_TIME = milliseconds(1_000);

/**
 * Determines whether a request may have ended its server.
 * @param ranFor From the first bytes of its answer to the end of the
 * connection; `undefined` if no bytes arrived.
 * @returns The run time to rank the suspicion by, or `undefined` if the request
 * isn't suspect. A request without an answer may have been queued and ranks as
 * the least suspect.
 */
export function suspectRunTime(
  ranFor: Duration | undefined,
): Duration | undefined {
  if (ranFor === undefined) return MAXIMUM_SUSPECT_RUN_TIME;
  return ranFor <= MAXIMUM_SUSPECT_RUN_TIME ? ranFor : undefined;
}

/**
 * Returns the key of the server run that a suspicion refers to.
 * @param suspicion The suspicion.
 * @returns The key.
 */
export function suspectedRunKey({ server, start }: SuspicionKey): string {
  return startKey(server, start);
}

/** The contents that may have caused one crash, and how long each had run. */
export type CrashSuspects = ReadonlyMap<ContentDigest, Duration>;

/**
 * The number of crashes from which a content is to blame and not a coincidence.
 */
const MINIMUM_CRASHES = 3;

interface Tally {
  crashes: number;
  ranFor: number;
}

/**
 * Finds the contents that crash servers. Each crash has one cause, so a crash
 * explained by one content is no evidence against the others that ran on the
 * same server.
 * @param crashes The suspects of each crash.
 * @returns The contents to blame.
 */
export function findCrashingContents(
  crashes: readonly CrashSuspects[],
): ReadonlySet<ContentDigest> {
  const crashing = new Set<ContentDigest>();
  let unexplained = crashes;
  for (;;) {
    const mostSuspect = findMostSuspect(unexplained);
    if (mostSuspect === undefined) return crashing;
    crashing.add(mostSuspect);
    unexplained = unexplained.filter((suspects) => !suspects.has(mostSuspect));
  }
}

/**
 * Finds the content with the most crashes; of equals the one that ran shortest.
 */
function findMostSuspect(
  crashes: readonly CrashSuspects[],
): ContentDigest | undefined {
  const tallies = new Map<ContentDigest, Tally>();
  for (const [content, ranFor] of crashes.flatMap((one) => [...one])) {
    const tally = tallies.get(content) ?? { crashes: 0, ranFor: 0 };
    tally.crashes += 1;
    tally.ranFor += ranFor;
    tallies.set(content, tally);
  }
  const [first] = [...tallies]
    .filter(([, { crashes: count }]) => count >= MINIMUM_CRASHES)
    .toSorted(([, left], [, right]) =>
      right.crashes - left.crashes || left.ranFor - right.ranFor
    );
  return first?.[0];
}
