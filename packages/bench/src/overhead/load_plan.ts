import * as z from "zod";

const pacingSchema = z.discriminatedUnion("kind", [
  /** A constant number of requests in flight, however long each takes. */
  z.object({ kind: z.literal("concurrent"), requests: z.number() }),
  /** A constant mean rate of requests, however long each takes. */
  z.object({ kind: z.literal("paced"), perSecond: z.number() }),
]);

/** Schema of {@link LoadPlan}. */
export const loadPlanSchema = z.object({
  /** The node's `http://` address. */
  node: z.string(),
  /** The engines' `http://` addresses. */
  engines: z.array(z.string()).min(1),
  /** Share of requests that go directly to an engine. */
  directShare: z.number().min(0).max(1),
  pacing: pacingSchema,
  warmMilliseconds: z.number(),
  measureMilliseconds: z.number(),
  adapters: z.array(z.string()).min(1),
  tokens: z.number().int().positive(),
  className: z.string(),
  seed: z.number().int(),
});

/** The load that one load generator sends. */
export type LoadPlan = Readonly<z.infer<typeof loadPlanSchema>>;

const pathResultSchema = z.object({
  /**
   * Complete responses to requests that ended (concurrent) or were sent
   * (paced) within the measured period.
   */
  whole: z.number(),
  failed: z.number(),
  /** Total number of data chunks in the complete responses. */
  pieces: z.number(),
  firstTokenMilliseconds: z.array(z.number()),
  wholeMilliseconds: z.array(z.number()),
});

/** Outcomes of the requests on one path. */
export type PathResult = z.infer<typeof pathResultSchema>;

/** Schema of {@link LoadResult}. */
export const loadResultSchema = z.object({
  node: pathResultSchema,
  engine: pathResultSchema,
});

/** Results of one load generator, by path. */
export type LoadResult = z.infer<typeof loadResultSchema>;

/**
 * Creates a result without any requests.
 * @returns The empty result.
 */
export function emptyResult(): LoadResult {
  return { node: emptyPath(), engine: emptyPath() };
}

function emptyPath(): PathResult {
  return {
    whole: 0,
    failed: 0,
    pieces: 0,
    firstTokenMilliseconds: [],
    wholeMilliseconds: [],
  };
}
