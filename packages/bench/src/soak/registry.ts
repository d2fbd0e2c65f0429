import { runAdapterSoak } from "./adapter_soak.ts";
import { configurationMutants } from "./configuration_mutants.ts";
import { runConfigurationSoak } from "./configuration_soak.ts";
import { CRASH_MUTANTS, runCrashSoak } from "./crashes/mod.ts";
import { OWNERSHIP_MUTANTS } from "./mutants.ts";
import { outcomeMutants } from "./outcome_mutants.ts";
import { runOutcomeSoak } from "./outcome_soak.ts";
import { runOwnershipSoak, type SoakRun } from "./ownership_soak.ts";
import {
  drawPartScript,
  drawReturnScript,
  drawStreamScript,
  relayMutants,
  runRelaySoak,
} from "./relay/mod.ts";
import { runServiceSoak } from "./service_soak.ts";

const ADAPTER_STEPS = 600;
const CONFIGURATION_STEPS = 400;
const OUTCOME_STEPS = 1_500;
const SERVICE_STEPS = 1_500;

/** A randomised run that `npm run soak` repeats with many seeds. */
export interface Soak {
  readonly name: string;
  /** Runs one seed; a broken invariant is returned or thrown. */
  readonly run: (seed: number) => SoakRun | Promise<SoakRun>;
}

/** A deliberate fault that `npm run soak:mutants` looks for. */
export interface SoakMutant extends Soak {
  /** The soak that has to notice it. */
  readonly soak: string;
}

/** The soaks that there are. */
export const SOAKS: readonly Soak[] = [
  { name: "ownership", run: (seed) => runOwnershipSoak(seed) },
  {
    name: "outcomes",
    run: (seed) => runOutcomeSoak({ seed, steps: OUTCOME_STEPS }),
  },
  {
    name: "configuration",
    run: (seed) => runConfigurationSoak({ seed, steps: CONFIGURATION_STEPS }),
  },
  {
    name: "adapters",
    run: (seed) => {
      const counts = runAdapterSoak({ seed, steps: ADAPTER_STEPS });
      return { orders: counts.answered };
    },
  },
  {
    name: "services",
    run: (seed) => ({
      orders: runServiceSoak({ seed, steps: SERVICE_STEPS }).answered,
    }),
  },
  { name: "relay", run: (seed) => runRelaySoak({ seed }) },
  {
    name: "streams",
    run: (seed) => runRelaySoak({ seed, draw: drawStreamScript }),
  },
  {
    name: "returns",
    run: (seed) => runRelaySoak({ seed, draw: drawReturnScript }),
  },
  { name: "crashes", run: (seed) => runCrashSoak(seed) },
  {
    name: "parts",
    run: (seed) => runRelaySoak({ seed, draw: drawPartScript }),
  },
];

/** The deliberate faults of all soaks that have some. */
export const SOAK_MUTANTS: readonly SoakMutant[] = [
  ...OWNERSHIP_MUTANTS.map((mutant): SoakMutant => ({
    soak: "ownership",
    name: mutant.name,
    run: (seed) => runOwnershipSoak(seed, mutant),
  })),
  ...outcomeMutants.map(({ name, rules }): SoakMutant => ({
    soak: "outcomes",
    name,
    run: (seed) => runOutcomeSoak({ seed, steps: OUTCOME_STEPS, rules }),
  })),
  ...configurationMutants.map(({ name, rules }): SoakMutant => ({
    soak: "configuration",
    name,
    run: (seed) =>
      runConfigurationSoak({ seed, steps: CONFIGURATION_STEPS, rules }),
  })),
  ...relayMutants.map(({ name, made, draw }): SoakMutant => ({
    soak: soakOf(draw),
    name,
    run: (seed) => runRelaySoak({ seed, made, ...(draw && { draw }) }),
  })),
  ...CRASH_MUTANTS.map(({ name, cause, rules }): SoakMutant => ({
    soak: "crashes",
    name,
    run: (seed) => runCrashSoak(seed, rules, cause),
  })),
];

/** Returns the soak whose runs a script draws. */
function soakOf(draw: typeof drawStreamScript | undefined): string {
  if (draw === undefined) return "relay";
  if (draw === drawReturnScript) return "returns";
  return draw === drawPartScript ? "parts" : "streams";
}
