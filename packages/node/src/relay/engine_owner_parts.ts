import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { EngineControl } from "./engine_control.ts";
import type { Knowledge } from "./knowledge.ts";
import type { RelaySettings } from "./relay_settings.ts";

/** What an owner works with. */
export interface EngineOwnerParts {
  readonly settings: RelaySettings;
  readonly knowledge: Knowledge;
  readonly control: EngineControl;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
}
