import { SeededRandom } from "@foxtailwind/standins";

/** What crashes servers, and what goes wrong beside it. */
export interface CrashScenario {
  readonly seed: number;
  readonly nodes: number;
  readonly servers: number;
  /** Sound requests per second, at all nodes. */
  readonly soundRate: number;
  /** Requests per second that crash servers, at all nodes. */
  readonly crashingRate: number;
  /** The parts that crash servers; by position in the prompt. */
  readonly crashingParts: readonly CrashingPart[];
  /** Whether one whole content crashes servers too, sent as often. */
  readonly hasCrashingContent: boolean;
  /** Servers that end by themselves, per second. */
  readonly ownEndRate: number;
  /** How often a node loses all its connections to servers, per second. */
  readonly lossRate: number;
  /** How often a server resets one call and runs on, per second. */
  readonly resetRate: number;
  /** When 60 of 100 nodes are killed, in milliseconds. */
  readonly killsAt: readonly number[];
  /** When a third of the nodes loses the log for a while. */
  readonly cutsAt: readonly number[];
  /** When the log is down for a while. */
  readonly outagesAt: readonly number[];
}

/** A part of prompts that crashes servers. */
export interface CrashingPart {
  readonly position: 0 | 1;
  readonly index: number;
}

/** How long a run lasts, in milliseconds. */
export const RUN_MILLISECONDS = 40_000;

/** The kinds of causes that are drawn. */
export const CRASH_CAUSES = [
  "second part",
  "first part",
  "two second parts",
  "second part and content",
  "second part and own ends",
  "second part and lost connections",
  "second part and resets",
] as const;
/** What crashes servers in a run. */
export type CrashCause = typeof CRASH_CAUSES[number];

/**
 * Draws a scenario.
 * @param seed The same seed gives the same scenario.
 * @param cause What crashes servers; drawn if omitted.
 * @returns The scenario.
 */
export function drawCrashScenario(
  seed: number,
  cause?: CrashCause,
): CrashScenario {
  const random = new SeededRandom(seed);
  const pick = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(random.next() * values.length)] as Value;
  const drawn = pick(CRASH_CAUSES);
  const chosen = cause ?? drawn;
  const timesOf = (probability: number): readonly number[] =>
    random.happens(probability)
      ? [500, 2_000, 4_500, 12_000].filter(() => random.happens(0.6))
      : [];
  return {
    seed,
    nodes: pick([6, 9, 30]),
    servers: pick([8, 12]),
    soundRate: pick([60, 100]),
    crashingRate: pick([2, 5, 10]),
    crashingParts: crashingPartsOf(chosen),
    hasCrashingContent: chosen === "second part and content",
    ownEndRate: chosen === "second part and own ends" ? 0.5 : 0.05,
    lossRate: chosen === "second part and lost connections" ? 0.5 : 0,
    resetRate: chosen === "second part and resets" ? 20 : 0,
    killsAt: timesOf(0.5),
    cutsAt: timesOf(0.4),
    outagesAt: timesOf(0.3),
  };
}

function crashingPartsOf(cause: CrashCause): readonly CrashingPart[] {
  if (cause === "first part") return [{ position: 0, index: 1 }];
  const second = { position: 1, index: 7 } as const;
  return cause === "two second parts"
    ? [second, { position: 1, index: 130 }]
    : [second];
}
