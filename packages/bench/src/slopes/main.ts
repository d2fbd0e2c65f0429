/**
 * Measures the cost of each role of a node at several sizes, for
 * docs/CAPACITY.md. Run with `--expose-gc`; the name of a subject as argument
 * measures that subject alone.
 * @module
 */
import process from "node:process";
import { measureCluster } from "./cluster_cost.ts";
import { measureConfiguration } from "./configuration_cost.ts";
import { measureDecisions } from "./decision_cost.ts";
import type { Figure, Measurement } from "./measurement.ts";
import { countMessages } from "./message_counts.ts";
import { measureTelemetry } from "./telemetry_cost.ts";

const SUBJECTS: ReadonlyMap<string, () => readonly Measurement[]> = new Map([
  ["configuration", measureConfiguration],
  ["decisions", measureDecisions],
  ["cluster", measureCluster],
  ["spread", countMessages],
  ["telemetry", measureTelemetry],
]);

const SIGNIFICANT_DIGITS = 3;

function formatFigure({ name, value, unit }: Figure): string {
  const rounded = Number.isInteger(value)
    ? value
    : Number(value.toPrecision(SIGNIFICANT_DIGITS));
  return `${name} ${rounded} ${unit}`.trimEnd();
}

const [only] = process.argv.slice(2);
for (const [name, measure] of SUBJECTS) {
  if (only !== undefined && only !== name) continue;
  process.stdout.write(`${name}\n`);
  for (const { subject, size, figures } of measure()) {
    const text = figures.map(formatFigure).join("; ");
    process.stdout.write(`  ${subject}, ${size}: ${text}\n`);
  }
}
