import {
  type BackendServerId,
  type ContentDigest,
  type Duration,
  milliseconds,
  type ServerStart,
} from "../shared/mod.ts";
import { startKey } from "./start_history.ts";

/** A request's content, and the run of a server that it may have ended. */
export interface SuspicionKey {
  readonly content: ContentDigest;
  readonly server: BackendServerId;
  /** Left out where the server does not tell it. */
  readonly start?: ServerStart;
}

/** The suspicion that a request has ended the server that ran it. */
export interface CrashSuspicion extends SuspicionKey {
  /** From the first bytes of the answer to its end. */
  readonly ranFor: Duration;
}

/** A request that ran for longer before its server's end did not cause it. */
const LONGEST_BEGINNING = milliseconds(1_000);

/**
 * Tells whether a request may have ended its server.
 * @param ranFor From the first bytes of its answer to the end of the
 * connection; nothing where none came.
 * @returns The time to weigh it by, or nothing where it is not suspect. A
 * request without an answer may have waited its turn, and weighs least.
 */
export function suspectTime(
  ranFor: Duration | undefined,
): Duration | undefined {
  if (ranFor === undefined) return LONGEST_BEGINNING;
  return ranFor <= LONGEST_BEGINNING ? ranFor : undefined;
}

/**
 * Gives the key of the run of a server that a suspicion is about.
 * @param suspicion The suspicion.
 * @returns The key.
 */
export function suspectedRun({ server, start }: SuspicionKey): string {
  return startKey(server, start);
}

/** The contents that may have caused one crash, and how long each had run. */
export type CrashSuspects = ReadonlyMap<ContentDigest, Duration>;

/** So many crashes are no coincidence. */
const CRASHES_TO_BLAME = 3;

interface Tally {
  crashes: number;
  ranFor: number;
}

/**
 * Tells which contents crash servers. Each crash has one cause, so that a
 * crash explained by one content speaks against no other one that ran there.
 * @param crashes The suspects of each crash.
 * @returns The contents that are to blame.
 */
export function contentsToBlame(
  crashes: readonly CrashSuspects[],
): ReadonlySet<ContentDigest> {
  const blamed = new Set<ContentDigest>();
  let unexplained = crashes;
  for (;;) {
    const worst = mostSuspect(unexplained);
    if (worst === undefined) return blamed;
    blamed.add(worst);
    unexplained = unexplained.filter((suspects) => !suspects.has(worst));
  }
}

/** The content of the most crashes; of equals the one that ran shortest. */
function mostSuspect(
  crashes: readonly CrashSuspects[],
): ContentDigest | undefined {
  const tallies = new Map<ContentDigest, Tally>();
  for (const [content, ranFor] of crashes.flatMap((one) => [...one])) {
    const tally = tallies.get(content) ?? { crashes: 0, ranFor: 0 };
    tally.crashes += 1;
    tally.ranFor += ranFor;
    tallies.set(content, tally);
  }
  const [worst] = [...tallies]
    .filter(([, { crashes: count }]) => count >= CRASHES_TO_BLAME)
    .toSorted(([, left], [, right]) =>
      right.crashes - left.crashes || left.ranFor - right.ranFor
    );
  return worst?.[0];
}
