import { engineRoleSchema } from "@foxtailwind/edges";
import * as z from "zod";
import {
  commonFaults,
  probability,
  remainingOccurrences,
} from "../shared/common_faults.ts";

const nonnegativeDuration = z.number().nonnegative();
const positiveCount = z.number().int().positive();

/** The settings of an engine stand-in. */
export const fakeEngineSettingsSchema = z.strictObject({
  seed: z.number().int().default(1),
  id: z.string().min(1).default("engine-1"),
  model: z.string().min(1).default("base"),
  role: engineRoleSchema.default("both"),
  /** Whether orders with an outdated fencing number are refused. */
  checksFencing: z.boolean().default(true),
  /** `http://ip:port` of a weight store. Without one, loads fetch nothing. */
  weightStoreAddress: z.string().exactOptional(),
  /** The duration of a load in addition to the fetch of the weights. */
  loadMilliseconds: nonnegativeDuration.default(20),
  loadModelMilliseconds: nonnegativeDuration.default(1_000),
  adapterSlots: positiveCount.default(8),
  batchCapacity: positiveCount.default(32),
  waitingCapacity: positiveCount.default(1_024),
  stepBaseMilliseconds: nonnegativeDuration.default(8),
  stepMillisecondsPerSequence: nonnegativeDuration.default(0.2),
  prefillMillisecondsPerToken: nonnegativeDuration.default(0.05),
  /** The number of tokens that are collected before a frame is sent. */
  tokensPerFrame: positiveCount.default(1),
  /** The fraction of generations that may stop before their maximum length. */
  stopShare: z.number().min(0).max(1).default(0),
  prefixCacheTokens: z.number().int().nonnegative().default(100_000),
  cacheEventLagMilliseconds: nonnegativeDuration.default(200),
  cacheEventGapProbability: z.number().min(0).max(1).default(0.01),
  loadReportMilliseconds: nonnegativeDuration.default(200),
  /** How long ended generations can be resumed. */
  keepFinishedMilliseconds: nonnegativeDuration.default(30_000),
  /** How long a generation without a reader runs before it is cancelled. */
  orphanMilliseconds: nonnegativeDuration.default(10_000),
  kvTransferMillisecondsPerToken: nonnegativeDuration.default(0.02),
  /** How long connections are dropped after a restart. */
  restartMilliseconds: nonnegativeDuration.default(200),
});

/** The settings of an engine stand-in. */
export type FakeEngineSettings = Readonly<
  z.infer<typeof fakeEngineSettingsSchema>
>;

/** The faults of an engine stand-in. */
export const fakeEngineFaultsSchema = z.strictObject({
  ...commonFaults,
  /** Reports in the engine's state that it takes no new work. */
  leaving: z.boolean().default(false),
  failNextLoads: remainingOccurrences,
  failLoadProbability: probability,
  extraLoadMilliseconds: nonnegativeDuration.default(0),
  /** Orders that take effect but whose response is lost. */
  loseNextOrderAnswers: remainingOccurrences,
  /** Generations that run on an adapter other than the requested one. */
  wrongAdapterNextGenerations: remainingOccurrences,
  /** Generations whose connection is dropped after `dropStreamAfterTokens`. */
  dropNextStreams: remainingOccurrences,
  dropStreamAfterTokens: z.number().int().nonnegative().default(3),
  duplicateFrameProbability: probability,
  misorderFrameProbability: probability,
  /**
   * Prompts that contain this text crash the engine shortly after their start.
   */
  crashOnText: z.string().default(""),
});

/** The faults of an engine stand-in. */
export type FakeEngineFaults = Readonly<z.infer<typeof fakeEngineFaultsSchema>>;
