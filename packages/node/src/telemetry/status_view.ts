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

/** Most nodes that the status page lists; the rest are counted. */
export const STATUS_NODE_LIMIT = 48;

/** Most classes that the status page lists. */
export const STATUS_CLASS_LIMIT = 24;

const TARGET_PERCENTILE = 95;

/** A class against its target. */
export interface ClassStatus {
  readonly class: string;
  readonly target_milliseconds: number;
  /** The 95th percentile of the time to first token; absent without any. */
  readonly p95_milliseconds?: number;
  /** The share of first tokens within the target, 0 to 1. */
  readonly within: number;
  readonly first_tokens: number;
  readonly answered: number;
  readonly failed: number;
  readonly refused: number;
}

/** The whole status, of bounded size. */
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

/** What a status is made from. */
export interface StatusSources {
  readonly asked: string;
  readonly configuration: Configuration;
  readonly status: CollectedStatus;
  readonly histograms: CollectedHistograms;
}

/**
 * Puts the status of the deployment together.
 * @param sources What was collected.
 * @returns The status.
 */
export function viewStatus(sources: StatusSources): StatusView {
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
    classes: viewClasses(configuration, histograms),
    nodes: statuses.slice(0, STATUS_NODE_LIMIT),
    nodes_left_out: Math.max(statuses.length - STATUS_NODE_LIMIT, 0),
    silent: status.nodes.filter((node) => !node.answered)
      .slice(0, STATUS_NODE_LIMIT)
      .map(({ node, reason }) => ({ node, reason: reason ?? "" })),
  };
}

function viewClasses(
  configuration: Configuration,
  { merged }: CollectedHistograms,
): readonly ClassStatus[] {
  const sums = sumByClass(merged.rows);
  return [...configuration.classes]
    .sort(([left], [right]) => left < right ? -1 : 1)
    .slice(0, STATUS_CLASS_LIMIT)
    .map(([name, target]) => viewClass(name, target, sums.get(name)));
}

function viewClass(
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
