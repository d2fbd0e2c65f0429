import type {
  EngineController,
  EngineId,
  RequestObserver,
} from "@foxtailwind/core";
import type { EngineClient } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { EngineSuspects } from "../crashes/mod.ts";
import type { EngineStateTracker } from "./engine_state_tracker.ts";
import type { EnginePoller } from "./engine_poller.ts";

/** What the generations of an engine work with. */
export interface EngineGenerationsParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly clock: SteadyClock;
  readonly observer: RequestObserver;
  /** The controller in charge; a restart of the engine brings another. */
  readonly controller: () => EngineController;
  readonly stateTracker: EngineStateTracker;
  readonly poller: EnginePoller;
  /** Takes the streams that broke off. */
  readonly suspects: EngineSuspects;
  /** Tells that the controller may have something new to decide. */
  readonly onChange: () => void;
}
