import type { telemetry } from "@foxtailwind/protocol";
import process from "node:process";
import type { DaemonParts } from "../daemon_parts.ts";
import type {
  EngineActivity,
  EngineActivitySource,
} from "./engine_activity.ts";

/** Maximum number of engines listed in a node's status. */
export const STATUS_ENGINE_LIMIT = 64;

/** Maximum number of adapters listed in an engine's status. */
export const STATUS_ADAPTER_LIMIT = 12;

const BYTES_PER_MEBIBYTE = 1_048_576;

/**
 * Builds the status of this node.
 * @param parts The daemon's parts.
 * @param activity Provides the engines that this node controls.
 * @returns The status, bounded in size.
 */
export function nodeStatus(
  parts: DaemonParts,
  activity: EngineActivitySource,
): telemetry.StatusAnswer {
  const { node } = parts.settings;
  const engines = activity.engines();
  const own = parts.directory.vms.find((vm) => vm.id === node.id);
  return {
    node: node.id,
    region: node.region,
    failureDomain: node.failure_domain,
    state: own?.state ?? "not listed",
    configurationOffset: parts.follower.configuration.offset,
    upSeconds: process.uptime(),
    memoryMebibytes: Math.round(
      process.memoryUsage.rss() / BYTES_PER_MEBIBYTE,
    ),
    engines: engines.slice(0, STATUS_ENGINE_LIMIT).map(engineStatus),
    enginesLeftOut: Math.max(engines.length - STATUS_ENGINE_LIMIT, 0),
  };
}

function engineStatus(activity: EngineActivity): telemetry.EngineStatus {
  const { engine, adapterSlots, batchCapacity, waiting, running } = activity;
  return {
    engine,
    adapterSlots,
    resident: activity.resident.length,
    adapters: activity.resident.slice(0, STATUS_ADAPTER_LIMIT),
    loading: activity.loading.slice(0, STATUS_ADAPTER_LIMIT),
    waiting,
    running,
    batchCapacity,
  };
}
