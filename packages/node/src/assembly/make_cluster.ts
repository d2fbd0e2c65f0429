import { HttpLogClient } from "@foxtailwind/edges";
import type { Dispatcher } from "undici";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { ClusterNode, ClusterTransport } from "../cluster/mod.ts";
import type { LoggerFactory } from "../logging/part_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { VmDirectory } from "../platform/vm_directory.ts";
import type { Settings } from "../settings/settings.ts";

/** What the cluster's part of a daemon is made of. */
export interface ClusterSources {
  readonly settings: Settings;
  readonly clock: SteadyClock;
  readonly directory: VmDirectory;
  readonly dispatcher: Dispatcher;
  readonly channels: PeerChannels;
  readonly loggers: LoggerFactory;
}

/** Reads that take longer renew no lease. */
const MEMBERSHIP_LOG_TIMEOUT = 1_000;

/**
 * Makes the part that takes part in membership and ownership.
 * @param sources What it is made of.
 * @returns The part, not yet started.
 */
export function makeCluster(sources: ClusterSources): ClusterNode {
  const { settings, clock, directory, dispatcher } = sources;
  return new ClusterNode({
    node: settings.node,
    clock,
    directory,
    log: new HttpLogClient({
      baseAddress: settings.platform.log,
      dispatcher,
      peer: "log",
      timeoutMilliseconds: MEMBERSHIP_LOG_TIMEOUT,
    }),
    transport: new ClusterTransport(sources.channels),
    logger: sources.loggers.forPart("ownership"),
  });
}
