import type { RequestObserver } from "@foxtailwind/core";
import type { LogClient, ServiceClient, Vm } from "@foxtailwind/edges";
import type { SteadyClock } from "./clock/steady_clock.ts";
import type { NodeStatus } from "./configuration/cluster_status.ts";
import type { ConfigurationFollower } from "./configuration/configuration_follower.ts";
import type { ConfigurationPublisher } from "./configuration/configuration_publisher.ts";
import type {
  DeliveryParts,
  KeyedExecution,
  ServiceDelivery,
} from "./delivery/mod.ts";
import type { Drain, WorkInProgress } from "./drain/mod.ts";
import type { MetricsSink } from "./metrics/mod.ts";
import type { VmDirectory } from "./platform/vm_directory.ts";
import type { AddressDirectory, ServiceDispatcher } from "./routing/mod.ts";
import type { GenerationRouter } from "./serving/generation_router.ts";
import type { Settings } from "./settings/settings.ts";
import type { NodeTelemetry } from "./telemetry/node_telemetry.ts";

/** The components of a daemon that the HTTP controllers use. */
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
  abstract readonly metrics: MetricsSink;
  abstract readonly publisher: ConfigurationPublisher;
  /** Queries other nodes for their configuration status. */
  abstract readonly peerStatuses: (
    nodes: readonly Vm[],
  ) => Promise<readonly NodeStatus[]>;
  abstract readonly observer: RequestObserver;
  abstract readonly router: GenerationRouter;
  abstract readonly delivery: DeliveryParts;
  abstract readonly telemetry: NodeTelemetry;
}
