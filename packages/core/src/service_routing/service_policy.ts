import {
  AdditiveIncreaseLimit,
  type ConcurrencyLimit,
} from "./concurrency_limit.ts";
import { PowerOfTwoChooser, type ServerChooser } from "./server_choice.ts";

/** The parts of routing that benchmarks replace by a baseline. */
export interface ServicePolicy {
  readonly chooser: () => ServerChooser;
  readonly limit: () => ConcurrencyLimit;
  readonly retries: boolean;
  readonly hedging: boolean;
  readonly ejection: boolean;
}

/** The policy used in production. */
export const SERVICE_POLICY: ServicePolicy = {
  chooser: () => new PowerOfTwoChooser(),
  limit: () => new AdditiveIncreaseLimit(),
  retries: true,
  hedging: true,
  ejection: true,
};
