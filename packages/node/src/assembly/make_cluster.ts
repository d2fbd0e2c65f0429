import { HttpLogClient } from "@foxtailwind/edges";
import type { Dispatcher } from "undici";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { ClusterNode, ClusterTransport } from "../cluster/mod.ts";
import type { LoggerFactory } from "../logging/component_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { VmDirectory } from "../platform/vm_directory.ts";
import type { Settings } from "../settings/settings.ts";

/** Dependencies of a daemon's cluster node. */
export interface ClusterDependencies {
  readonly settings: Settings;
  readonly clock: SteadyClock;
  readonly directory: VmDirectory;
  readonly dispatcher: Dispatcher;
  readonly channels: PeerChannels;
  readonly loggers: LoggerFactory;
}

/** A log read that takes longer renews no lease. */
const MEMBERSHIP_LOG_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Creates the node's participant in membership and ownership.
 * @param dependencies Its dependencies.
 * @returns The cluster node, not yet started.
 */
export function makeCluster(dependencies: ClusterDependencies): ClusterNode {
  const { settings, clock, directory, dispatcher } = dependencies;
  return new ClusterNode({
    node: settings.node,
    clock,
    directory,
    log: new HttpLogClient({
      baseAddress: settings.platform.log,
      dispatcher,
      peer: "log",
      timeoutMilliseconds: MEMBERSHIP_LOG_TIMEOUT_MILLISECONDS,
    }),
    transport: new ClusterTransport(dependencies.channels),
    logger: dependencies.loggers.forComponent("ownership"),
  });
}
