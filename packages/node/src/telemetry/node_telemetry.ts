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

/** The telemetry of a daemon: what it observes and what it collects. */
export class NodeTelemetry {
  /** What all nodes observe. */
  readonly deployment: DeploymentTelemetry;
  /** Answers peers, to register. */
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

  /** Follows the configured classes and tenants until {@link stop}. */
  start(): void {
    this.#local.start();
    this.#metrics.start();
  }

  /** Learns at once of the classes and tenants that are configured now. */
  configure(): void {
    this.#local.configure();
  }

  /** Stops following. */
  stop(): void {
    this.#local.stop();
    this.#metrics.stop();
  }
}
