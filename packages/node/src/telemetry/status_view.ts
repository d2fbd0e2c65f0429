import {
  type Configuration,
  type LatencyTarget,
  type MergedRow,
  shareWithin,
  sumByClass,
  TICKS_PER_MILLISECOND,
} from "@foxtailwind/core";
import type { telemetry } from "@foxtailwind/protocol";
import type {
  CollectedHistograms,
  CollectedStatus,
} from "./deployment_telemetry.ts";

/** Maximum number of nodes listed; the rest are only counted. */
export const STATUS_NODE_LIMIT = 48;

/** Maximum number of classes listed. */
export const STATUS_CLASS_LIMIT = 24;

const TARGET_PERCENTILE = 95;

/** A class's latency compared with its target. */
export interface ClassStatus {
  readonly class: string;
  readonly target_milliseconds: number;
  /** The 95th percentile of the time to first token; absent without data. */
  readonly p95_milliseconds?: number;
  /** The fraction of first tokens within the target, 0 to 1. */
  readonly within: number;
  readonly first_tokens: number;
  readonly answered: number;
  readonly failed: number;
  readonly refused: number;
}

/** The deployment's status, bounded in size. */
export interface StatusView {
  readonly asked: string;
  readonly configuration: {
    readonly offset: number;
    readonly classes: number;
    readonly tenants: number;
    readonly adapters: number;
    readonly services: number;
  };
  readonly classes: readonly ClassStatus[];
  readonly nodes: readonly telemetry.StatusAnswer[];
  readonly nodes_left_out: number;
  readonly silent: readonly {
    readonly node: string;
    readonly reason: string;
  }[];
}

/** The inputs of a status view. */
export interface StatusSources {
  readonly asked: string;
  readonly configuration: Configuration;
  readonly status: CollectedStatus;
  readonly histograms: CollectedHistograms;
}

/**
 * Builds the status of the deployment.
 * @param sources The collected data.
 * @returns The status.
 */
export function buildStatusView(sources: StatusSources): StatusView {
  const { asked, configuration, status, histograms } = sources;
  const { statuses } = status;
  return {
    asked,
    configuration: {
      offset: configuration.offset,
      classes: configuration.classes.size,
      tenants: configuration.tenants.size,
      adapters: configuration.adapters.size,
      services: configuration.services.size,
    },
    classes: buildClassStatuses(configuration, histograms),
    nodes: statuses.slice(0, STATUS_NODE_LIMIT),
    nodes_left_out: Math.max(statuses.length - STATUS_NODE_LIMIT, 0),
    silent: status.nodes.filter((node) => !node.answered)
      .slice(0, STATUS_NODE_LIMIT)
      .map(({ node, reason }) => ({ node, reason: reason ?? "" })),
  };
}

function buildClassStatuses(
  configuration: Configuration,
  { merged }: CollectedHistograms,
): readonly ClassStatus[] {
  const sums = sumByClass(merged.rows);
  return [...configuration.classes]
    .sort(([left], [right]) => left < right ? -1 : 1)
    .slice(0, STATUS_CLASS_LIMIT)
    .map(([name, target]) => buildClassStatus(name, target, sums.get(name)));
}

function buildClassStatus(
  name: string,
  target: LatencyTarget,
  row: MergedRow | undefined,
): ClassStatus {
  const histogram = row?.histograms.get("first_token");
  const bound = target.firstTokenMilliseconds * TICKS_PER_MILLISECOND;
  const ended = row?.ended ?? { answered: 0, failed: 0, refused: 0 };
  return {
    class: name,
    target_milliseconds: target.firstTokenMilliseconds,
    ...(histogram !== undefined && {
      p95_milliseconds: histogram.getValueAtPercentile(TARGET_PERCENTILE) /
        TICKS_PER_MILLISECOND,
    }),
    within: histogram === undefined ? 1 : shareWithin(histogram, bound),
    first_tokens: histogram?.totalCount ?? 0,
    ...ended,
  };
}
