import {
  adapterId,
  adapterVersion,
  attemptNumber,
  engineId,
  fencingNumber,
  modelId,
  requestId,
} from "@foxtailwind/core";
import * as z from "zod";

const countSchema = z.number().int().nonnegative();
const attemptSchema = z.number().int().positive().transform(attemptNumber);
const requestSchema = z.string().min(1).transform(requestId);
const modelSchema = z.string().min(1).transform(modelId);

/** An adapter and its version. */
export const adapterReferenceSchema = z.object({
  adapter: z.string().min(1).transform(adapterId),
  version: z.string().min(1).transform(adapterVersion),
});

/** The phases of generation that an engine runs. */
export const engineRoleSchema = z.enum(["both", "prefill", "decode"]);

/** The body of a generation request. */
export const generateCallSchema = z.object({
  request: requestSchema,
  attempt: attemptSchema,
  model: modelSchema,
  adapter: adapterReferenceSchema,
  messages: z.array(z.object({
    role: z.enum(["system", "user", "assistant"]),
    content: z.string(),
  })),
  maximumTokens: z.number().int().positive(),
  priority: z.number(),
  fromSequence: countSchema,
});

/** The body of a cancellation request. */
export const cancelCallSchema = z.object({
  request: requestSchema,
  attempt: attemptSchema,
});

/** The response to a cancellation request. */
export const cancelResponseSchema = z.object({ cancelled: z.boolean() });

/** How a generation ended. */
export const generationEndSchema = z.object({
  request: requestSchema,
  attempt: attemptSchema,
  finishReason: z.enum(["stop", "length", "cancelled"]),
  promptTokens: countSchema,
  completionTokens: countSchema,
  cachedPromptTokens: countSchema,
});

const orderBaseFields = {
  fencing: z.number().transform(fencingNumber),
  expiresInMilliseconds: z.number().nonnegative(),
};

/** The body of an order that changes an engine's state. */
export const engineOrderSchema = z.discriminatedUnion("kind", [
  z.object({
    ...orderBaseFields,
    kind: z.literal("load_adapter"),
    adapter: adapterReferenceSchema,
  }),
  z.object({
    ...orderBaseFields,
    kind: z.literal("evict_adapter"),
    adapter: adapterReferenceSchema,
  }),
  z.object({
    ...orderBaseFields,
    kind: z.literal("load_model"),
    model: modelSchema,
  }),
  z.object({
    ...orderBaseFields,
    kind: z.literal("change_role"),
    role: engineRoleSchema,
  }),
]);

/** An engine's state. */
export const engineStateSchema = z.object({
  engine: z.string().transform(engineId),
  bootId: z.string(),
  model: modelSchema,
  role: engineRoleSchema,
  adapterSlots: countSchema,
  batchCapacity: countSchema,
  resident: z.array(adapterReferenceSchema),
  loading: z.array(adapterReferenceSchema),
  running: z.array(z.object({
    request: requestSchema,
    attempt: attemptSchema,
    adapter: adapterReferenceSchema,
    generated: countSchema,
  })),
  highestFencing: z.number().transform(fencingNumber).exactOptional(),
  leaving: z.boolean(),
});

/** An engine's load report. */
export const engineLoadReportSchema = z.object({
  engine: z.string().transform(engineId),
  bootId: z.string(),
  running: countSchema,
  waiting: countSchema,
  stepMilliseconds: z.number().nonnegative(),
  batchFill: z.number().min(0).max(1),
  prefixCacheUsed: z.number().nonnegative(),
  ageMilliseconds: z.number().nonnegative(),
});

/** A page of cache events. */
export const cacheEventsSchema = z.object({
  events: z.array(z.object({
    sequence: countSchema,
    kind: z.enum(["stored", "evicted"]),
    adapter: adapterReferenceSchema,
    prefixHash: z.string(),
  })),
});

/** An exported KV cache. */
export const exportedKvCacheSchema = z.object({
  request: requestSchema,
  adapter: adapterReferenceSchema,
  data: z.string(),
});
