import * as z from "zod";

const summarySchema = z.object({ count: z.number(), mean: z.number() });

const answerSchema = z.object({
  rows: z.array(z.object({
    class: z.string(),
    tenant: z.string(),
    measures: z.object({ load_stall: summarySchema.optional() }),
  })),
  batch_fill: z.array(z.object({ percent: summarySchema })),
});

/** What the nodes measured of a load. */
export interface DemoMeasures {
  /** Seconds of load stall for 1,000 requests, by class. */
  readonly stallSeconds: ReadonlyMap<string, number>;
  /** The mean batch fill over all engines, in percent. */
  readonly batchFill: number;
}

const ALL_TENANTS = "(all)";

/**
 * Asks a node for the histograms of all nodes.
 * @param node The node's `http://` address.
 * @returns The measures since the nodes started.
 */
export async function readDemoMeasures(node: string): Promise<DemoMeasures> {
  const answer = await fetch(
    `${node}/v1/operators/histograms?window=since_start`,
  );
  const { rows, batch_fill } = answerSchema.parse(await answer.json());
  const totals = rows.filter((row) => row.tenant === ALL_TENANTS);
  const fills = batch_fill.filter(({ percent }) => percent.count > 0);
  const sum = fills.reduce((total, { percent }) => total + percent.mean, 0);
  return {
    // A mean in milliseconds is as many seconds for 1,000 requests.
    stallSeconds: new Map(
      totals.map((row) => [row.class, row.measures.load_stall?.mean ?? 0]),
    ),
    batchFill: sum / Math.max(1, fills.length),
  };
}
