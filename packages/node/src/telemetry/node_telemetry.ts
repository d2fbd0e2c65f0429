import type { RequestTelemetry } from "@foxtailwind/core";
import type { DaemonParts } from "../daemon_parts.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import { DeploymentTelemetry } from "./deployment_telemetry.ts";
import type { EngineActivitySource } from "./engine_activity.ts";
import { LocalTelemetry } from "./local_telemetry.ts";
import { PeerCollector } from "./peer_collector.ts";
import { TelemetryMetrics } from "./telemetry_metrics.ts";
import { telemetryService } from "./telemetry_service.ts";

/** A daemon's telemetry: local observations and cluster-wide collection. */
export class NodeTelemetry {
  /** Collects telemetry from all nodes. */
  readonly deployment: DeploymentTelemetry;
  /** The gRPC service that answers peers, to register. */
  readonly registration: PeerRegistration;
  readonly #local: LocalTelemetry;
  readonly #metrics: TelemetryMetrics;

  constructor(daemon: DaemonParts, parts: {
    readonly requests: RequestTelemetry;
    readonly activity: EngineActivitySource;
    readonly channels: PeerChannels;
  }) {
    const self = daemon.settings.node.id;
    const { directory } = daemon;
    const { channels } = parts;
    const peers = new PeerCollector({ self, directory, channels });
    this.#local = new LocalTelemetry(daemon, parts);
    const { clock, metrics } = daemon;
    const { requests } = parts;
    this.#metrics = new TelemetryMetrics({ requests, clock, metrics });
    this.registration = telemetryService(this.#local);
    this.deployment = new DeploymentTelemetry({
      self,
      local: this.#local,
      peers,
    });
  }

  /** Tracks the configured classes and tenants until {@link stop}. */
  start(): void {
    this.#local.start();
    this.#metrics.start();
  }

  /** Applies the currently configured classes and tenants immediately. */
  configure(): void {
    this.#local.configure();
  }

  /** Stops tracking the configuration and publishing metrics. */
  stop(): void {
    this.#local.stop();
    this.#metrics.stop();
  }
}
