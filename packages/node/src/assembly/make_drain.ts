import { seconds } from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { ClusterHandOver, type ClusterNode } from "../cluster/mod.ts";
import { Drain, type WorkInProgress } from "../drain/mod.ts";
import type { LoggerFactory } from "../logging/part_logger.ts";
import type { Settings } from "../settings/settings.ts";

/** Dependencies of a daemon's drain. */
export interface DrainSources {
  readonly settings: Settings;
  readonly work: WorkInProgress;
  readonly cluster: ClusterNode;
  readonly clock: SteadyClock;
  readonly loggers: LoggerFactory;
}

/**
 * Creates the drain, which carries out a planned stop.
 * @param sources Its dependencies.
 * @returns The drain.
 */
export function makeDrain(sources: DrainSources): Drain {
  const { addresses, stop } = sources.settings;
  const longestWait = stop.longest_wait_seconds;
  return new Drain({
    terms: {
      addressLifetime: seconds(addresses.lifetime_seconds),
      ...(longestWait !== undefined && { maximumWait: seconds(longestWait) }),
    },
    work: sources.work,
    handOver: new ClusterHandOver(sources.cluster),
    clock: sources.clock,
    logger: sources.loggers.forPart("daemon"),
  });
}
