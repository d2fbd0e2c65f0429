import * as z from "zod";
import {
  commonFaults,
  nextOccasions,
  probability,
} from "../shared/common_faults.ts";

/** The settings of a log service stand-in. */
export const fakeLogServiceSettingsSchema = z.strictObject({
  seed: z.number().int().default(1),
  /** Calls of append, whatever they carry. */
  appendsPerSecond: z.number().positive().default(400),
  maximumAppendBytes: z.number().positive().default(1_048_576),
  retainMilliseconds: z.number().positive().default(3_600_000),
  retainRecords: z.number().int().positive().default(1_000_000),
});

/** The settings of a log service stand-in. */
export type FakeLogServiceSettings = Readonly<
  z.infer<typeof fakeLogServiceSettingsSchema>
>;

/** The faults of a log service stand-in. */
export const fakeLogServiceFaultsSchema = z.strictObject({
  ...commonFaults,
  /** Appends that take effect, but whose answer is lost. */
  loseNextAppendAnswers: nextOccasions,
  loseAppendAnswerProbability: probability,
  /** Appends whose connection is lost before any effect. */
  dropNextAppends: nextOccasions,
  /** Appends that are refused as not run. */
  refuseNextAppends: nextOccasions,
  /** Further delay of appends only, between effect and answer. */
  appendAnswerDelayMilliseconds: z.number().nonnegative().default(0),
});

/** The faults of a log service stand-in. */
export type FakeLogServiceFaults = Readonly<
  z.infer<typeof fakeLogServiceFaultsSchema>
>;
