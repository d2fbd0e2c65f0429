import {
  GradientLimit,
  PowerOfTwoChooser,
  RandomChooser,
  RoundRobinChooser,
  SERVICE_POLICY,
  type ServicePolicy,
  UnlimitedConcurrency,
} from "@foxtailwind/core";

/** A routing policy and its name in reports. */
export interface NamedPolicy {
  readonly name: string;
  readonly policy: ServicePolicy;
}

const BASELINE_POLICY = {
  limit: () => new UnlimitedConcurrency(),
  retries: false,
  hedging: false,
  ejection: false,
};

/** The daemon's policy, its variants and the baselines. */
export const NAMED_POLICIES: readonly NamedPolicy[] = [
  { name: "foxtailwind", policy: SERVICE_POLICY },
  {
    name: "gradient limit",
    policy: { ...SERVICE_POLICY, limit: () => new GradientLimit() },
  },
  {
    name: "no limit",
    policy: { ...SERVICE_POLICY, limit: () => new UnlimitedConcurrency() },
  },
  { name: "no hedging", policy: { ...SERVICE_POLICY, hedging: false } },
  {
    name: "two choices only",
    policy: { ...BASELINE_POLICY, chooser: () => new PowerOfTwoChooser() },
  },
  {
    name: "round robin",
    policy: { ...BASELINE_POLICY, chooser: () => new RoundRobinChooser() },
  },
  {
    name: "random",
    policy: { ...BASELINE_POLICY, chooser: () => new RandomChooser() },
  },
];
