import { mean, type Spread, spread } from "../policy/mod.ts";
import { drawPrompts } from "./drawn_prompts.ts";
import {
  FIRST_EVENT_TARGET_MILLISECONDS,
  ImmediateGate,
  SpacedGate,
} from "./prompt_gates.ts";
import { type PromptGate, runEngine } from "./reading_engine.ts";

/** Pauses between events that are longer than this are late. */
export const MAX_PAUSE_MILLISECONDS = 300;
/** How many times slower the users' slow engines are than normal ones. */
const SLOW_ENGINE_SLOWDOWN = 1.3;

/** A policy that decides when an engine gets its prompts. */
export interface PrefillPolicy {
  readonly name: string;
  readonly create: (slowdown: number) => PromptGate;
}

/** The policies to compare: the baseline and this project's own. */
export const PREFILL_POLICIES: readonly PrefillPolicy[] = [
  { name: "at once", create: () => new ImmediateGate() },
  { name: "spaced", create: (slowdown) => new SpacedGate(slowdown) },
];

/** The results of one policy under one load, over all seeds. */
export interface PrefillOutcome {
  readonly policy: string;
  /** The share of a normal engine's time that prefill takes. */
  readonly prefillLoad: number;
  readonly isSlow: boolean;
  /** The share of pauses between events that were too long. */
  readonly latePauseShare: Spread;
  /** The share of first events that missed the target. */
  readonly lateFirstEventShare: Spread;
}

/** The loads and seeds of an experiment. */
export interface PrefillExperiment {
  readonly loads: readonly number[];
  readonly seeds: readonly number[];
}

/**
 * Runs all policies on the same prompts, on a normal and a slow engine.
 * @param experiment The loads and seeds.
 * @returns The results of each policy under each load and engine speed.
 */
export function runPrefillExperiment(
  { loads, seeds }: PrefillExperiment,
): readonly PrefillOutcome[] {
  return [1, SLOW_ENGINE_SLOWDOWN].flatMap((slowdown) =>
    loads.flatMap((load) =>
      PREFILL_POLICIES.map(({ name, create }): PrefillOutcome => {
        const runs = seeds.map((seed) =>
          runEngine(drawPrompts(load, seed), create(slowdown), slowdown)
        );
        return {
          policy: name,
          prefillLoad: load,
          isSlow: slowdown === SLOW_ENGINE_SLOWDOWN,
          latePauseShare: spread(
            runs.map(({ pauses }) => lateShare(pauses, MAX_PAUSE_MILLISECONDS)),
          ),
          lateFirstEventShare: spread(
            runs.map(({ firstTokenDelays: waits }) =>
              lateShare(waits, FIRST_EVENT_TARGET_MILLISECONDS)
            ),
          ),
        };
      })
    )
  );
}

/**
 * Computes the share of times that exceed a limit.
 * @param times The times, in milliseconds.
 * @param limit The limit, in milliseconds.
 * @returns The share, 0 to 1.
 */
export function lateShare(times: readonly number[], limit: number): number {
  return mean(times.map((time) => time > limit ? 1 : 0));
}
