import type { RequestObserver } from "@foxtailwind/core";
import type { LogClient, ServiceClient } from "@foxtailwind/edges";
import type { SteadyClock } from "./clock/steady_clock.ts";
import type { KeyedExecution, ServiceDelivery } from "./delivery/mod.ts";
import type { Drain, WorkInProgress } from "./drain/mod.ts";
import type { ConfigurationFollower } from "./platform/configuration_follower.ts";
import type { VmDirectory } from "./platform/vm_directory.ts";
import type { AddressDirectory, ServiceDispatcher } from "./routing/mod.ts";
import type { GenerationRouter } from "./serving/generation_router.ts";
import type { Settings } from "./settings/settings.ts";

/** The running parts of a daemon, as the HTTP controllers use them. */
export abstract class DaemonParts {
  abstract readonly settings: Settings;
  abstract readonly clock: SteadyClock;
  abstract readonly log: LogClient;
  abstract readonly services: ServiceClient;
  abstract readonly serviceDispatcher: ServiceDispatcher;
  abstract readonly keyedExecution: KeyedExecution;
  abstract readonly serviceDelivery: ServiceDelivery;
  abstract readonly addresses: AddressDirectory;
  abstract readonly work: WorkInProgress;
  abstract readonly drain: Drain;
  abstract readonly directory: VmDirectory;
  abstract readonly follower: ConfigurationFollower;
  abstract readonly observer: RequestObserver;
  abstract readonly router: GenerationRouter;
}
