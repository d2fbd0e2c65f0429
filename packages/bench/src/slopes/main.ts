/**
 * Measures what each role of a node costs at several sizes, for
 * docs/CAPACITY.md. Run with `--expose-gc`; a subject's name as argument runs
 * just that one.
 * @module
 */
import process from "node:process";
import { measureCluster } from "./cluster_slope.ts";
import { measureConfiguration } from "./configuration_slope.ts";
import { measureDecisions } from "./decision_slope.ts";
import type { Figure, Measurement } from "./measurement.ts";
import { countSpread } from "./spread_slope.ts";
import { measureTelemetry } from "./telemetry_slope.ts";

const SUBJECTS: ReadonlyMap<string, () => readonly Measurement[]> = new Map([
  ["configuration", measureConfiguration],
  ["decisions", measureDecisions],
  ["cluster", measureCluster],
  ["spread", countSpread],
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
