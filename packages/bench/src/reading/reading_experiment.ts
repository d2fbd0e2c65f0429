import { mean, type Spread, spread } from "../policy/mod.ts";
import { drawPrompts } from "./drawn_prompts.ts";
import { OpenGate, SpacedGate, TARGET_MILLISECONDS } from "./prompt_gates.ts";
import { type PromptGate, runEngine } from "./reading_engine.ts";

/** The longest pause between two events that is not late, in milliseconds. */
export const LONGEST_PAUSE_MILLISECONDS = 300;
/** How many times slower than normal the users' slow engines are. */
const SLOW = 1.3;

/** A way of giving an engine its prompts. */
export interface ReadingPolicy {
  readonly name: string;
  readonly create: (speed: number) => PromptGate;
}

/** The policies that are compared: the baseline, and the product's own. */
export const READING_POLICIES: readonly ReadingPolicy[] = [
  { name: "at once", create: () => new OpenGate() },
  { name: "spaced", create: (speed) => new SpacedGate(speed) },
];

/** How one policy fared under one load, over all seeds. */
export interface ReadingOutcome {
  readonly policy: string;
  /** The share of a normal engine's time that prompts fill. */
  readonly load: number;
  readonly isSlow: boolean;
  /** Shares of events, and of first events, that came late. */
  readonly pauses: Spread;
  readonly firstEvents: Spread;
}

/** What an experiment runs. */
export interface ReadingExperiment {
  readonly loads: readonly number[];
  readonly seeds: readonly number[];
}

/**
 * Runs all policies on the same prompts, on a normal and on a slow engine.
 * @param experiment What to run.
 * @returns How each policy fared under each load.
 */
export function runReadingExperiment(
  { loads, seeds }: ReadingExperiment,
): readonly ReadingOutcome[] {
  return [1, SLOW].flatMap((speed) =>
    loads.flatMap((load) =>
      READING_POLICIES.map(({ name, create }): ReadingOutcome => {
        const runs = seeds.map((seed) =>
          runEngine(drawPrompts(load, seed), create(speed), speed)
        );
        return {
          policy: name,
          load,
          isSlow: speed === SLOW,
          pauses: spread(
            runs.map(({ pauses }) =>
              lateShare(pauses, LONGEST_PAUSE_MILLISECONDS)
            ),
          ),
          firstEvents: spread(
            runs.map(({ waits }) => lateShare(waits, TARGET_MILLISECONDS)),
          ),
        };
      })
    )
  );
}

/**
 * Gives the share of times over a limit.
 * @param times The times, in milliseconds.
 * @param limit The limit, in milliseconds.
 * @returns The share, 0 to 1.
 */
export function lateShare(times: readonly number[], limit: number): number {
  return mean(times.map((time) => time > limit ? 1 : 0));
}
