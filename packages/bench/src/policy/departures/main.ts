/**
 * Compares ways in which nodes hear that a server leaves.
 * @module
 */
import process from "node:process";
import { emulateSpread, type SpreadFault } from "./emulated_spread.ts";
import {
  ExchangesChanges,
  FetchesWhatDigestsTell,
  RenewsProofs,
  SendsAtOnce,
} from "./spread_ways.ts";

const SIZES = [
  { nodes: 75, failureDomains: 5, seeds: 30 },
  { nodes: 195, failureDomains: 3, seeds: 10 },
];
const FAULTS: readonly SpreadFault[] = ["none", "watchers", "watchers_and_hub"];
const LOST_DATAGRAMS = [0, 0.1];
const WAYS = [
  new FetchesWhatDigestsTell(),
  new ExchangesChanges(),
  new SendsAtOnce(),
  new RenewsProofs(),
];
const MILLISECONDS_PER_SECOND = 1_000;

for (const { nodes, failureDomains, seeds } of SIZES) {
  for (const fault of FAULTS) {
    process.stdout.write(
      `\n${nodes} nodes, ${failureDomains} domains, ${fault}: ` +
        "median, p99, most (s); reads, exchanges, fetches, datagrams\n",
    );
    for (const way of WAYS) {
      for (const lostDatagrams of way.sendsAtOnce ? LOST_DATAGRAMS : [0]) {
        const results = Array.from(
          { length: seeds },
          (_, seed) =>
            emulateSpread(way, fault, {
              nodes,
              failureDomains,
              seed: seed + 1,
              lostDatagrams,
            }),
        );
        const delays = results.flatMap((result) => result.delays)
          .toSorted((left, right) => left - right);
        const quantile = (share: number) => {
          const index = Math.ceil(share * delays.length) - 1;
          return ((delays[index] ?? 0) / MILLISECONDS_PER_SECOND).toFixed(2);
        };
        const mean = (read: (result: typeof results[number]) => number) =>
          Math.round(results.reduce((sum, one) => sum + read(one), 0) / seeds);
        process.stdout.write(
          `${way.name}, ${lostDatagrams} lost: ${quantile(0.5)}, ${
            quantile(0.99)
          }, ${quantile(1)}; ${mean(({ reads }) => reads)}, ${
            mean(({ exchanges }) => exchanges)
          }, ${mean(({ fetches }) => fetches)}, ${
            mean(({ datagrams }) => datagrams)
          }\n`,
        );
      }
    }
  }
}
