import * as z from "zod";

const pacingSchema = z.discriminatedUnion("kind", [
  /** So many requests at any time, whatever they take. */
  z.object({ kind: z.literal("concurrent"), requests: z.number() }),
  /** So many requests a second, whatever they take. */
  z.object({ kind: z.literal("paced"), perSecond: z.number() }),
]);

/** What one load generator sends. */
export const loadPlanSchema = z.object({
  /** The node's `http://` address. */
  node: z.string(),
  /** The engines' `http://` addresses. */
  engines: z.array(z.string()).min(1),
  /** The share of requests that go to an engine directly. */
  directShare: z.number().min(0).max(1),
  pacing: pacingSchema,
  warmMilliseconds: z.number(),
  measureMilliseconds: z.number(),
  adapters: z.array(z.string()).min(1),
  tokens: z.number().int().positive(),
  className: z.string(),
  seed: z.number().int(),
});

/** What one load generator sends. */
export type LoadPlan = Readonly<z.infer<typeof loadPlanSchema>>;

const pathResultSchema = z.object({
  /** Requests that were sent and ended within the measured time. */
  whole: z.number(),
  failed: z.number(),
  /** Pieces of all whole answers together. */
  pieces: z.number(),
  firstTokenMilliseconds: z.array(z.number()),
  wholeMilliseconds: z.array(z.number()),
});

/** What came of the requests on one path. */
export type PathResult = z.infer<typeof pathResultSchema>;

/** What one load generator measured. */
export const loadResultSchema = z.object({
  node: pathResultSchema,
  engine: pathResultSchema,
});

/** What one load generator measured. */
export type LoadResult = z.infer<typeof loadResultSchema>;

/**
 * Makes a result with nothing in it.
 * @returns The result.
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
