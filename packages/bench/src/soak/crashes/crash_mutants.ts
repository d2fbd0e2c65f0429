import {
  type ContentDigest,
  type CrashBlame,
  findCrashBlame,
  type Instant,
  later,
  milliseconds,
  type ObservedCrash,
} from "@foxtailwind/core";
import type { CrashNodeRules } from "./crash_node.ts";
import type { CrashCause } from "./crash_scenario.ts";

/** Longer than any run, so that parts are blamed without delay. */
const FOREVER = milliseconds(1_000_000);

/** The crashes from which one of the mutants blames whatever was there. */
const BLAMED_CRASHES = 3;

/** Nodes that do something wrong, and the cause under which it shows. */
export interface CrashMutant {
  readonly name: string;
  readonly cause: CrashCause;
  readonly rules: CrashNodeRules;
}

/** The deliberate faults. */
export const CRASH_MUTANTS: readonly CrashMutant[] = [
  {
    name: "parts are ignored",
    cause: "second part",
    rules: { ignores: "parts" },
  },
  {
    name: "only first parts are blamed",
    cause: "second part",
    rules: { ignores: "second_parts" },
  },
  {
    name: "of equals the first part is blamed",
    cause: "second part",
    rules: { findBlame: blameWidest, clearsNothing: true },
  },
  {
    name: "all that crashed thrice is refused",
    cause: "second part",
    rules: { findBlame: blameAll, clearsNothing: true },
  },
  {
    name: "suspicions are lost with their node",
    cause: "second part",
    rules: { tellsNobody: true },
  },
];

/** Other ways to decide, to compare with. */
export const CRASH_ALTERNATIVES: ReadonlyMap<string, CrashNodeRules> = new Map([
  ["as it is", {}],
  ["without clearing", { clearsNothing: true }],
  ["without delay", { findBlame: blameAtOnce }],
  ["shortest run of equals", { findBlame: blameShortest }],
  [
    "shortest run of equals, without clearing",
    { findBlame: blameShortest, clearsNothing: true },
  ],
  [
    "each server on its own, unsettled",
    { countsBursts: false, suspectsUnsettled: true },
  ],
  ["each server on its own, settled", { countsBursts: false }],
  ["in bursts, unsettled", { suspectsUnsettled: true }],
  ["resets taken for ends", { takesResetsForEnds: true }],
  ["sent although named", { sendsLate: true }],
]);

function blameAtOnce(
  now: Instant,
  crashes: readonly ObservedCrash[],
): CrashBlame {
  return findCrashBlame(later(now, FOREVER), crashes);
}

function blameShortest(
  now: Instant,
  crashes: readonly ObservedCrash[],
): CrashBlame {
  return findCrashBlame(now, crashes.map((crash) => movePart(crash, () => 0)));
}

function blameWidest(
  now: Instant,
  crashes: readonly ObservedCrash[],
): CrashBlame {
  return findCrashBlame(
    now,
    crashes.map((crash) => movePart(crash, (position) => 1 - position)),
  );
}

/** Blames whatever was there at three crashes, explained or not. */
function blameAll(
  now: Instant,
  crashes: readonly ObservedCrash[],
): CrashBlame {
  const counts = new Map<ContentDigest, number>();
  for (
    const content of crashes.flatMap(({ suspects }) => [...suspects.keys()])
  ) {
    counts.set(content, (counts.get(content) ?? 0) + 1);
  }
  const blamed = [...counts].filter(([, count]) => count >= BLAMED_CRASHES);
  return {
    contents: new Set(blamed.map(([content]) => content)),
    changesAt: now,
  };
}

function movePart(
  { suspectedAt, suspects }: ObservedCrash,
  move: (position: number) => number,
): ObservedCrash {
  return {
    suspectedAt,
    suspects: new Map(
      [...suspects].map(([content, one]) => [
        content,
        one.partPosition === undefined
          ? one
          : { ...one, partPosition: move(one.partPosition) },
      ]),
    ),
  };
}
