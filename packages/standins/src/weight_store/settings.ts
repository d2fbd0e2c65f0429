import * as z from "zod";
import {
  commonFaults,
  probability,
  remainingOccurrences,
} from "../shared/common_faults.ts";

/** The settings of a weight store stand-in. */
export const fakeWeightStoreSettingsSchema = z.strictObject({
  seed: z.number().int().default(1),
  loadsPerSecond: z.number().positive().default(5),
  concurrentLoads: z.number().int().positive().default(2),
  adapterBytes: z.number().positive().default(50_000_000),
  /** The speed of each load while at most `concurrentLoads` are in progress. */
  bytesPerSecond: z.number().positive().default(125_000_000),
});

/** The settings of a weight store stand-in. */
export type FakeWeightStoreSettings = Readonly<
  z.infer<typeof fakeWeightStoreSettingsSchema>
>;

/** The faults of a weight store stand-in. */
export const fakeWeightStoreFaultsSchema = z.strictObject({
  ...commonFaults,
  failNextLoads: remainingOccurrences,
  failLoadProbability: probability,
  /** Loads whose connection is dropped after half of the transfer. */
  dropNextLoads: remainingOccurrences,
  /** The ids of adapters that the store does not have. */
  missingAdapters: z.array(z.string()).default([]),
});

/** The faults of a weight store stand-in. */
export type FakeWeightStoreFaults = Readonly<
  z.infer<typeof fakeWeightStoreFaultsSchema>
>;
