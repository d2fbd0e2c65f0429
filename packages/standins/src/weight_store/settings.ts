import * as z from "zod";
import {
  commonFaults,
  nextOccasions,
  probability,
} from "../shared/common_faults.ts";

/** The settings of a weight store stand-in. */
export const fakeWeightStoreSettingsSchema = z.strictObject({
  seed: z.number().int().default(1),
  loadsPerSecond: z.number().positive().default(5),
  concurrentLoads: z.number().int().positive().default(2),
  adapterBytes: z.number().positive().default(50_000_000),
  /** The speed of one load while no more than `concurrentLoads` run. */
  bytesPerSecond: z.number().positive().default(125_000_000),
});

/** The settings of a weight store stand-in. */
export type FakeWeightStoreSettings = Readonly<
  z.infer<typeof fakeWeightStoreSettingsSchema>
>;

/** The faults of a weight store stand-in. */
export const fakeWeightStoreFaultsSchema = z.strictObject({
  ...commonFaults,
  failNextLoads: nextOccasions,
  failLoadProbability: probability,
  /** Loads whose connection is lost half way. */
  dropNextLoads: nextOccasions,
  /** Adapters, by id, that the store does not have. */
  missingAdapters: z.array(z.string()).default([]),
});

/** The faults of a weight store stand-in. */
export type FakeWeightStoreFaults = Readonly<
  z.infer<typeof fakeWeightStoreFaultsSchema>
>;
