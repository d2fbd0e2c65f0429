import type { SoakFinding, SoakRun } from "../ownership_soak.ts";
import type { CrashNodeRules } from "./crash_node.ts";
import {
  type CrashCause,
  type CrashScenario,
  drawCrashScenario,
} from "./crash_scenario.ts";
import { type CrashOutcome, CrashWorld } from "./crash_world.ts";

/** The requests of one cause that may be sent after it has to be known. */
const MAXIMUM_LATE_SENDS = 3;
/** The sound requests from which their share is judged. */
const MINIMUM_SHARING = 20;
/** The share of sound requests that must begin at least. */
const MINIMUM_SHARE = 0.5;

/**
 * Runs nodes and servers that requests crash, in virtual time.
 * @param scenario What crashes servers, and what else goes wrong.
 * @param rules What the nodes do wrong on purpose.
 * @returns What the run has shown.
 */
export function runCrashWorld(
  scenario: CrashScenario,
  rules: CrashNodeRules = {},
): CrashOutcome {
  return new CrashWorld(scenario, rules).run();
}

/**
 * Runs a drawn scenario and checks that causes are found and others served.
 * @param seed The seed of the scenario.
 * @param rules What the nodes do wrong on purpose.
 * @param cause What crashes servers; drawn if omitted.
 * @returns The result.
 */
export function runCrashSoak(
  seed: number,
  rules: CrashNodeRules = {},
  cause?: CrashCause,
): SoakRun {
  const outcome = runCrashWorld(drawCrashScenario(seed, cause), rules);
  const finding = checkCrashOutcome(seed, outcome);
  return {
    orders: 0,
    counts: {
      crashes: sum(outcome.crashes),
      late_sends: sum(outcome.lateSends),
      sharing: outcome.sharing,
      sharing_begun: outcome.sharingBegun,
      records: outcome.records,
    },
    ...(finding === undefined ? {} : { finding }),
  };
}

function checkCrashOutcome(
  seed: number,
  { lateSends, sharing, sharingBegun }: CrashOutcome,
): SoakFinding | undefined {
  const tooOften = [...lateSends].find(([, sends]) =>
    sends > MAXIMUM_LATE_SENDS
  );
  if (tooOften !== undefined) {
    const [cause, sends] = tooOften;
    const detail = `${sends} requests with ${cause} were sent`;
    return { seed, invariant: "known_causes_are_refused", detail };
  }
  if (sharing < MINIMUM_SHARING || sharingBegun >= sharing * MINIMUM_SHARE) {
    return undefined;
  }
  const detail = `${sharingBegun} of ${sharing} began`;
  return { seed, invariant: "sound_requests_begin", detail };
}

function sum(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((total, count) => total + count, 0);
}
