import * as z from "zod";
import {
  commonFaults,
  probability,
  remainingOccurrences,
} from "../shared/common_faults.ts";

/** The settings of a log service stand-in. */
export const fakeLogServiceSettingsSchema = z.strictObject({
  seed: z.number().int().default(1),
  /** The rate of append calls, whatever their size. */
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
  /** Appends that take effect but whose response is lost. */
  loseNextAppendAnswers: remainingOccurrences,
  loseAppendAnswerProbability: probability,
  /** Appends whose connection is dropped before they take effect. */
  dropNextAppends: remainingOccurrences,
  /** Appends that are refused with the outcome `not_run`. */
  refuseNextAppends: remainingOccurrences,
  /** The delay of an append's response after the append took effect. */
  appendAnswerDelayMilliseconds: z.number().nonnegative().default(0),
});

/** The faults of a log service stand-in. */
export type FakeLogServiceFaults = Readonly<
  z.infer<typeof fakeLogServiceFaultsSchema>
>;
