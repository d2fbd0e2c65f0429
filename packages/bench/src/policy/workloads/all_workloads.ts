import { kauriFreshWorkload } from "./kauri_fresh.ts";
import { tidewellWorkload } from "./tidewell.ts";
import type { Workload } from "./workload.ts";

/** A kind of workload, drawn anew for each seed. */
export interface WorkloadKind {
  readonly name: string;
  readonly draw: (seed: number) => Workload;
}

/**
 * Both deployments with two exponents each. The flatter one needs more loads a
 * request, so its rate is lower: known arrivals would need little more than
 * half of the store's rate. The light one lets the weakest baseline keep up.
 */
export const WORKLOAD_KINDS: readonly WorkloadKind[] = [
  {
    name: "kauri-fresh, zipf 1.0, 8 requests/s",
    draw: (seed) =>
      kauriFreshWorkload({ exponent: 1, seed, requestsPerSecond: 8 }),
  },
  {
    name: "kauri-fresh, zipf 1.3, 14 requests/s",
    draw: (seed) =>
      kauriFreshWorkload({ exponent: 1.3, seed, requestsPerSecond: 14 }),
  },
  {
    name: "kauri-fresh, zipf 1.3, a light 6 requests/s",
    draw: (seed) =>
      kauriFreshWorkload({ exponent: 1.3, seed, requestsPerSecond: 6 }),
  },
  {
    name: "tidewell, zipf 1.0, rush of 8 requests/s",
    draw: (seed) => tidewellWorkload({ exponent: 1, seed, rushPerSecond: 8 }),
  },
  {
    name: "tidewell, zipf 1.3, rush of 14 requests/s",
    draw: (seed) =>
      tidewellWorkload({ exponent: 1.3, seed, rushPerSecond: 14 }),
  },
];
