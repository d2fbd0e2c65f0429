import type { ServerStart, UnansweredLoads } from "@foxtailwind/core";
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
  /** This node's loads of the engine that got no answer, before this owner. */
  readonly lateOrders: UnansweredLoads;
}

/** What an owner works with at one start of its engine. */
export interface EngineRunParts extends EngineOwnerParts {
  /** The start, if it is known. */
  readonly start: () => ServerStart | undefined;
  /** Whether a report that names a start is to be believed. */
  readonly isBelieved: (start: ServerStart | undefined) => boolean;
}
