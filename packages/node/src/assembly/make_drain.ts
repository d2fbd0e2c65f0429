import { seconds } from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { ClusterHandOver, type ClusterNode } from "../cluster/mod.ts";
import { Drain, type WorkInProgress } from "../drain/mod.ts";
import type { LoggerFactory } from "../logging/component_logger.ts";
import type { Settings } from "../settings/settings.ts";

/** Dependencies of a daemon's drain. */
export interface DrainDependencies {
  readonly settings: Settings;
  readonly work: WorkInProgress;
  readonly cluster: ClusterNode;
  readonly clock: SteadyClock;
  readonly loggers: LoggerFactory;
}

/**
 * Creates the drain, which carries out a planned stop.
 * @param dependencies Its dependencies.
 * @returns The drain.
 */
export function makeDrain(dependencies: DrainDependencies): Drain {
  const { addresses, stop } = dependencies.settings;
  const longestWait = stop.longest_wait_seconds;
  return new Drain({
    options: {
      addressLifetime: seconds(addresses.lifetime_seconds),
      ...(longestWait !== undefined && { maximumWait: seconds(longestWait) }),
    },
    work: dependencies.work,
    handOver: new ClusterHandOver(dependencies.cluster),
    clock: dependencies.clock,
    logger: dependencies.loggers.forComponent("daemon"),
  });
}
