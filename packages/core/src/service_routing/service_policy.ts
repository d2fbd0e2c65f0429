import {
  AdditiveIncreaseLimit,
  type ConcurrencyLimit,
} from "./concurrency_limit.ts";
import { PowerOfTwoChooser, type ServerChooser } from "./server_choice.ts";

/** The parts of routing that measurements exchange for a baseline. */
export interface ServicePolicy {
  readonly chooser: () => ServerChooser;
  readonly limit: () => ConcurrencyLimit;
  readonly retries: boolean;
  readonly hedging: boolean;
  readonly ejection: boolean;
}

/** What the daemon routes by. */
export const SERVICE_POLICY: ServicePolicy = {
  chooser: () => new PowerOfTwoChooser(),
  limit: () => new AdditiveIncreaseLimit(),
  retries: true,
  hedging: true,
  ejection: true,
};
