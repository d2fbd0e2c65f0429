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

/** The dependencies of an engine's generations. */
export interface EngineGenerationsParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly clock: SteadyClock;
  readonly observer: RequestObserver;
  /** Finds the current controller, which changes at an engine's restart. */
  readonly controller: () => EngineController;
  readonly stateTracker: EngineStateTracker;
  readonly poller: EnginePoller;
  /** Records the streams that broke. */
  readonly suspects: EngineSuspects;
  /** Called when the controller may have new decisions. */
  readonly onChange: () => void;
}
