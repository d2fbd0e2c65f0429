/**
 * Compares ways of knowing what began a stream after its node is lost.
 * @module
 */
import { emulateOrigins, type NodeLoss } from "./emulated_cluster.ts";
import { AsksAll, TellsAll, TellsHolders } from "./origin_ways.ts";
import process from "node:process";

const NODES = [6, 9, 24, 89, 195, 1_500];
const SEEDS = [1, 2, 3];
const LOSSES: readonly NodeLoss[] = [
  { name: "60% killed", share: 0.6, byDomain: false },
  { name: "a domain cut off", share: 1 / 3, byDomain: true },
];
const WAYS = [
  new TellsAll(),
  new AsksAll(),
  ...[1, 3, 6, 8].map((count) => new TellsHolders(count)),
];
const PERCENT = 100;

for (const loss of LOSSES) {
  process.stdout.write(`\n${loss.name}: told, asked, origins known\n`);
  for (const way of WAYS) {
    const cells = NODES.map((nodes) => {
      const results = SEEDS.map((seed) =>
        emulateOrigins(way, loss, { nodes, seed })
      );
      const mean = (read: (result: typeof results[number]) => number) =>
        results.reduce((sum, one) => sum + read(one), 0) / results.length;
      const known = PERCENT * mean((one) => one.known);
      return `${nodes}: ${mean((one) => one.told).toFixed(1)}, ${
        mean((one) => one.asked).toFixed(1)
      }, ${known.toFixed(1)}%`;
    });
    process.stdout.write(`${way.name}: ${cells.join("; ")}\n`);
  }
}
