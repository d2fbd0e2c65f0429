import Table from "cli-table3";
import type { PathResult } from "./load_plan.ts";
import type { PhaseResult } from "./overhead_phase.ts";

/** Results of all phases of the measurement. */
export interface OverheadResults {
  readonly node: PhaseResult;
  readonly direct: PhaseResult;
  readonly halfLoad: PhaseResult;
  readonly halfLoadPerSecond: number;
  readonly tokens: number;
}

const MEDIAN_SHARE = 0.5;
const P95_SHARE = 0.95;

/**
 * Formats the results as tables, with the ratios between the two paths.
 * @param figures The results.
 * @returns The text.
 */
export function formatOverhead(figures: OverheadResults): string {
  const { node, direct, halfLoad } = figures;
  const nodeRate = node.node.whole / node.seconds;
  const directRate = direct.engine.whole / direct.seconds;
  return [
    fullLoadTable(figures),
    `Through the node to directly at full load: ${
      formatRatio(nodeRate, directRate)
    }`,
    `A request of ${figures.tokens} tokens takes ` +
    `${
      (1_000 * node.nodeCores / nodeRate).toFixed(3)
    } ms of the node's core: ` +
    `${(nodeRate / node.nodeCores).toFixed(0)} requests/s a core`,
    `Half load: ${figures.halfLoadPerSecond.toFixed(0)} requests/s, ` +
    `${halfLoad.nodeCores.toFixed(2)} cores of the node`,
    halfLoadTable(halfLoad),
    "",
  ].join("\n");
}

function fullLoadTable({ node, direct }: OverheadResults): string {
  const table = plainTable([
    "full load",
    "whole/s",
    "failed",
    "pieces an answer",
    "node's cores",
  ]);
  table.push(
    fullRow("through the node", { path: node.node, phase: node }),
    fullRow("directly", { path: direct.engine, phase: direct }),
  );
  return table.toString();
}

function fullRow(
  name: string,
  { path, phase }: { readonly path: PathResult; readonly phase: PhaseResult },
): string[] {
  return [
    name,
    (path.whole / phase.seconds).toFixed(0),
    String(path.failed),
    (path.pieces / path.whole).toFixed(1),
    phase.nodeCores.toFixed(2),
  ];
}

function halfLoadTable(half: PhaseResult): string {
  const table = plainTable([
    "half load",
    "requests",
    "failed",
    "first token p50 ms",
    "p95 ms",
    "whole p50 ms",
    "p95 ms",
  ]);
  table.push(
    halfRow("through the node", half.node),
    halfRow("directly", half.engine),
    differenceRow(half),
  );
  return table.toString();
}

function halfRow(name: string, path: PathResult): string[] {
  return [
    name,
    String(path.whole),
    String(path.failed),
    ...latencyQuantiles(path).map((time) => time.toFixed(2)),
  ];
}

function differenceRow({ node, engine }: PhaseResult): string[] {
  const direct = latencyQuantiles(engine);
  const added = latencyQuantiles(node).map((time, index) =>
    time - (direct[index] ?? 0)
  );
  return ["added", "", "", ...added.map((time) => time.toFixed(2))];
}

function latencyQuantiles(path: PathResult): readonly number[] {
  return [path.firstTokenMilliseconds, path.wholeMilliseconds].flatMap(
    (times) => {
      const sorted = [...times].sort((left, right) => left - right);
      return [quantile(sorted, MEDIAN_SHARE), quantile(sorted, P95_SHARE)];
    },
  );
}

function quantile(sorted: readonly number[], share: number): number {
  const index = Math.floor(share * sorted.length);
  return sorted[Math.min(sorted.length - 1, index)] ?? Number.NaN;
}

function formatRatio(left: number, right: number): string {
  return (left / right).toFixed(3);
}

function plainTable(head: string[]) {
  return new Table({ head, style: { head: [], border: [] } });
}
