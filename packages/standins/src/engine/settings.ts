import { engineRoleSchema } from "@foxtailwind/edges";
import * as z from "zod";
import {
  commonFaults,
  nextOccasions,
  probability,
} from "../shared/common_faults.ts";

const duration = z.number().nonnegative();
const count = z.number().int().positive();

/** The settings of an engine stand-in. */
export const fakeEngineSettingsSchema = z.strictObject({
  seed: z.number().int().default(1),
  id: z.string().min(1).default("engine-1"),
  model: z.string().min(1).default("base"),
  role: engineRoleSchema.default("both"),
  /** Whether orders with an old fencing number are refused. */
  checksFencing: z.boolean().default(true),
  /** `http://ip:port` of a weight store; without one, loads only take time. */
  weightStoreAddress: z.string().exactOptional(),
  /** The time of a load beyond what the weight store takes. */
  loadMilliseconds: duration.default(20),
  loadModelMilliseconds: duration.default(1_000),
  adapterSlots: count.default(8),
  batchCapacity: count.default(32),
  waitingCapacity: count.default(1_024),
  stepBaseMilliseconds: duration.default(8),
  stepMillisecondsPerSequence: duration.default(0.2),
  prefillMillisecondsPerToken: duration.default(0.05),
  /** How many tokens gather before a frame is sent. */
  tokensPerFrame: count.default(1),
  /** The share of generations that stop before their longest length. */
  stopShare: z.number().min(0).max(1).default(0),
  prefixCacheTokens: z.number().int().nonnegative().default(100_000),
  cacheEventLagMilliseconds: duration.default(200),
  cacheEventGapProbability: z.number().min(0).max(1).default(0.01),
  loadReportMilliseconds: duration.default(200),
  /** How long finished generations can still be resumed. */
  keepFinishedMilliseconds: duration.default(30_000),
  /** How long a generation goes on that nobody reads. */
  orphanMilliseconds: duration.default(10_000),
  kvTransferMillisecondsPerToken: duration.default(0.02),
  /** How long a restart refuses connections. */
  restartMilliseconds: duration.default(200),
});

/** The settings of an engine stand-in. */
export type FakeEngineSettings = Readonly<
  z.infer<typeof fakeEngineSettingsSchema>
>;

/** The faults of an engine stand-in. */
export const fakeEngineFaultsSchema = z.strictObject({
  ...commonFaults,
  /** Tells in its state that it wants no new work. */
  leaving: z.boolean().default(false),
  failNextLoads: nextOccasions,
  failLoadProbability: probability,
  extraLoadMilliseconds: duration.default(0),
  /** Orders that take effect, but whose answer is lost. */
  loseNextOrderAnswers: nextOccasions,
  /** Generations that run on another adapter than the one asked for. */
  wrongAdapterNextGenerations: nextOccasions,
  /** Generations whose connection is lost in mid-stream. */
  dropNextStreams: nextOccasions,
  dropStreamAfterTokens: z.number().int().nonnegative().default(3),
  duplicateFrameProbability: probability,
  misorderFrameProbability: probability,
  /** Prompts with this text end the engine as it begins to answer them. */
  crashOnText: z.string().default(""),
});

/** The faults of an engine stand-in. */
export type FakeEngineFaults = Readonly<z.infer<typeof fakeEngineFaultsSchema>>;
