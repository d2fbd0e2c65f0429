import * as z from "zod";

const summarySchema = z.object({ count: z.number(), mean: z.number() });

const responseSchema = z.object({
  rows: z.array(z.object({
    class: z.string(),
    tenant: z.string(),
    measures: z.object({ load_stall: summarySchema.optional() }),
  })),
  batch_fill: z.array(z.object({ percent: summarySchema })),
});

/** Metrics that the nodes recorded under a load. */
export interface DemoMetrics {
  /** Load stall in seconds per 1,000 requests, by class. */
  readonly loadStallSeconds: ReadonlyMap<string, number>;
  /** Mean batch fill over all engines, in percent. */
  readonly meanBatchFillPercent: number;
}

const ALL_TENANTS = "(all)";

/**
 * Fetches the histograms of all nodes from one node.
 * @param nodeUrl The `http://` URL of the node.
 * @returns The metrics since the nodes started.
 */
export async function readDemoMetrics(nodeUrl: string): Promise<DemoMetrics> {
  const response = await fetch(
    `${nodeUrl}/v1/operators/histograms?window=since_start`,
  );
  const { rows, batch_fill } = responseSchema.parse(await response.json());
  const allTenantsRows = rows.filter((row) => row.tenant === ALL_TENANTS);
  const nonEmptyFills = batch_fill.filter(({ percent }) => percent.count > 0);
  const sum = nonEmptyFills.reduce(
    (total, { percent }) => total + percent.mean,
    0,
  );
  return {
    // A mean in milliseconds equals the total seconds per 1,000 requests.
    loadStallSeconds: new Map(
      allTenantsRows.map((
        row,
      ) => [row.class, row.measures.load_stall?.mean ?? 0]),
    ),
    meanBatchFillPercent: sum / Math.max(1, nonEmptyFills.length),
  };
}
