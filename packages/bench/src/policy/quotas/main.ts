/**
 * Compares ways of enforcing an account's quota on emulated nodes.
 * @module
 */
import { emulateQuota } from "./quota_emulation.ts";
import { QUOTA_SCENARIOS } from "./quota_scenarios.ts";
import { QUOTA_WAYS } from "./quota_ways.ts";
import process from "node:process";

/** Serving nodes of clusters of 6, 86, 300 and 1,500 nodes. */
const SERVING_NODES = process.argv.length > 2
  ? process.argv.slice(2).map(Number)
  : [6, 12, 24, 96];
const SEEDS = [1, 2, 3];
const PERCENT = 100;

for (const nodes of SERVING_NODES) {
  process.stdout.write(`\n${nodes} serving nodes\n`);
  for (const scenario of QUOTA_SCENARIOS) {
    const cells = [...QUOTA_WAYS].map(([name, create]) => {
      const results = SEEDS.map((seed) =>
        emulateQuota(scenario, { nodes, seed, create })
      );
      const exact = results.reduce((sum, one) => sum + one.exactTokens, 0);
      const admitted = results.reduce(
        (sum, one) => sum + one.admittedTokens,
        0,
      );
      const use = Math.max(...results.map((one) => one.highestUse));
      const calls = Math.max(...results.map((one) => one.callsPerNode));
      return `${name}: ${(PERCENT * admitted / exact).toFixed(1)} % served, ` +
        `${(PERCENT * use).toFixed(0)} % of the bound, ` +
        `${calls.toFixed(1)} calls`;
    });
    process.stdout.write(`${scenario.name}\n  ${cells.join("\n  ")}\n`);
  }
}
