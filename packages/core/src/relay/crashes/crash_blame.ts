import {
  type ContentDigest,
  type Instant,
  instant,
  later,
  milliseconds,
} from "../../shared/mod.ts";
import type { CrashSuspicion } from "./crash_suspicion.ts";

/** The end of one run of a server. */
export interface ObservedCrash {
  readonly suspectedAt: Instant;
  /** What may have caused it. */
  readonly suspects: ReadonlyMap<
    ContentDigest,
    Pick<CrashSuspicion, "ranFor" | "partPosition">
  >;
}

/** What is to blame for crashes. */
export interface CrashBlame {
  readonly contents: ReadonlySet<ContentDigest>;
  /** When more is to blame if nothing new becomes known, if ever. */
  readonly changesAt: Instant | undefined;
}

/**
 * The number of crashes from which a suspect is to blame and not a coincidence.
 */
const MINIMUM_CRASHES = 3;

/**
 * A suspect is preferred to wider ones if it was under this share of their
 * crashes.
 */
const NARROW_SHARE = 0.6;

/**
 * How long a part is not blamed yet after its first crash has become known.
 * Requests with a sound part that many share clear it within this time.
 */
const PART_CLEARING_TIME = milliseconds(500);

interface Tally {
  readonly content: ContentDigest;
  readonly partPosition: number | undefined;
  crashes: number;
  ranFor: number;
  firstCrashAt: Instant;
}

/**
 * Finds what crashes servers. Each crash has one cause, so a crash explained by
 * one suspect is no evidence against the others that ran on the same server.
 * @param now The present time.
 * @param crashes The crashes.
 * @returns The suspects to blame.
 */
export function findCrashBlame(
  now: Instant,
  crashes: readonly ObservedCrash[],
): CrashBlame {
  const contents = new Set<ContentDigest>();
  const laterBlames: Instant[] = [];
  let unexplained = crashes;
  for (;;) {
    const mostSuspect = findMostSuspect(unexplained);
    if (mostSuspect === undefined) break;
    const { content } = mostSuspect;
    const blamedFrom = blameTime(mostSuspect);
    if (blamedFrom !== undefined && now >= blamedFrom) contents.add(content);
    else if (blamedFrom !== undefined) laterBlames.push(blamedFrom);
    unexplained = unexplained.filter(({ suspects }) => !suspects.has(content));
  }
  const changesAt = laterBlames.length === 0
    ? undefined
    : instant(Math.min(...laterBlames));
  return { contents, changesAt };
}

/** Returns from when a suspect is to blame, or `undefined` if it isn't yet. */
function blameTime(
  { partPosition, firstCrashAt, crashes }: Tally,
): Instant | undefined {
  if (crashes < MINIMUM_CRASHES) return undefined;
  return partPosition === undefined
    ? firstCrashAt
    : later(firstCrashAt, PART_CLEARING_TIME);
}

/**
 * Finds the narrowest suspect that explains most of what the suspect with the
 * most crashes does: the first parts of prompts are among the suspects of nearly
 * every crash, also of those that have another cause. It may have too few crashes
 * to be blamed yet. Of equally narrow ones it is the one with the most crashes,
 * and of those the one that ran shortest.
 */
function findMostSuspect(
  crashes: readonly ObservedCrash[],
): Tally | undefined {
  const tallies = new Map<ContentDigest, Tally>();
  for (const { suspectedAt, suspects } of crashes) {
    for (const [content, { ranFor, partPosition }] of suspects) {
      const tally = tallies.get(content) ?? {
        content,
        partPosition,
        crashes: 0,
        ranFor: 0,
        firstCrashAt: suspectedAt,
      };
      tally.crashes += 1;
      tally.ranFor += ranFor;
      tally.firstCrashAt = instant(
        Math.min(tally.firstCrashAt, suspectedAt),
      );
      tallies.set(content, tally);
    }
  }
  const all = [...tallies.values()];
  const most = Math.max(...all.map((tally) => tally.crashes));
  if (most < MINIMUM_CRASHES) return undefined;
  const [first] = all.filter(({ crashes: count }) =>
    count >= most * NARROW_SHARE
  )
    .toSorted((left, right) =>
      compareWidth(left, right) ||
      right.crashes - left.crashes ||
      left.ranFor - right.ranFor
    );
  return first;
}

/** Orders narrower suspects first: whole contents, then the later parts. */
function compareWidth(left: Tally, right: Tally): number {
  if (left.partPosition === right.partPosition) return 0;
  if (left.partPosition === undefined) return -1;
  if (right.partPosition === undefined) return 1;
  return right.partPosition - left.partPosition;
}
