import {
  InvariantViolation,
  type OwnershipRules,
  StandardOwnershipRules,
} from "@foxtailwind/core";
import { OwnershipRun } from "./ownership_run.ts";
import { type Scenario, type ScenarioFamily, scenarioOf } from "./scenario.ts";

/** An invariant that a run found broken. */
export interface SoakFinding {
  readonly seed: number;
  readonly invariant: string;
  readonly detail: string;
}

/** What a run did, where no invariant broke. */
export interface SoakRun {
  readonly orders: number;
  /** What else was counted, by name; summed over runs. */
  readonly counts?: Readonly<Record<string, number>>;
  readonly finding?: SoakFinding;
}

/** How to run a seed. */
export interface SoakOptions {
  /** Other than the standard ones for mutants only. */
  readonly rules?: OwnershipRules;
  readonly family?: ScenarioFamily;
}

/**
 * Runs the scenario of a seed and checks every invariant.
 * @param seed The seed.
 * @param options The rules and the scenarios to draw from.
 * @returns What was found.
 */
export function runOwnershipSoak(
  seed: number,
  options: SoakOptions = {},
): SoakRun {
  const { rules = new StandardOwnershipRules(), family = "any" } = options;
  return runScenario(scenarioOf(seed, family), { seed, rules });
}

/**
 * Runs one scenario and checks every invariant.
 * @param scenario The scenario.
 * @param options The seed that findings name, and the rules.
 * @returns What was found.
 */
export function runScenario(
  scenario: Scenario,
  options: { readonly seed: number; readonly rules: OwnershipRules },
): SoakRun {
  const { seed, rules } = options;
  const run = new OwnershipRun(scenario, rules);
  try {
    run.run();
    return { orders: run.orders };
  } catch (error) {
    const invariant = error instanceof InvariantViolation
      ? error.invariant
      : "no_exception";
    const detail = error instanceof Error ? error.message : String(error);
    return { orders: run.orders, finding: { seed, invariant, detail } };
  }
}
