import type { ServerStart, UnansweredLoads } from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { EngineControl } from "./engine_control.ts";
import type { Knowledge } from "./knowledge.ts";
import type { RelaySettings } from "./relay_settings.ts";

/** Dependencies of `EngineOwner`. */
export interface EngineOwnerParts {
  readonly settings: RelaySettings;
  readonly knowledge: Knowledge;
  readonly control: EngineControl;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Unanswered loads that this node sent before this owner was created. */
  readonly earlierUnansweredLoads: UnansweredLoads;
}

/** Dependencies of `EngineRun`. */
export interface EngineRunParts extends EngineOwnerParts {
  /** Returns the engine's current start, if known. */
  readonly start: () => ServerStart | undefined;
  /** Whether to accept a report that names a start. */
  readonly acceptsReport: (start: ServerStart | undefined) => boolean;
}
