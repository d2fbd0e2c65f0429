import * as z from "zod";
import { formatHistogramPage } from "../output/histogram_page.ts";
import { formatHistogramText } from "../output/histogram_text.ts";
import { type Command, defineCommand } from "./command.ts";

const summarySchema = z.object({
  count: z.number(),
  mean: z.number(),
  percentiles: z.record(z.string(), z.number()),
  buckets: z.array(z.object({ upTo: z.number(), count: z.number() })),
});

const histogramsSchema = z.object({
  window: z.string(),
  nodes: z.array(z.object({
    node: z.string(),
    answered: z.boolean(),
    reason: z.string().optional(),
  })),
  damaged: z.number(),
  rows: z.array(z.object({
    class: z.string(),
    tenant: z.string(),
    ended: z.object({
      answered: z.number(),
      failed: z.number(),
      refused: z.number(),
    }),
    measures: z.record(z.string(), summarySchema),
  })),
  batch_fill: z.array(z.object({
    engine: z.string(),
    percent: summarySchema,
  })),
});

/** The statistics and buckets of a histogram, as returned by a node. */
export type HistogramSummary = z.output<typeof summarySchema>;

/** The merged histograms of all nodes, as returned by a node. */
export type HistogramsResponse = z.output<typeof histogramsSchema>;

/** Shows the merged histograms of all nodes. */
export const HISTOGRAMS_COMMAND: Command = defineCommand({
  command: "histograms",
  describe: "Show the histograms of all nodes, by class and tenant",
  options: (parser) =>
    parser
      .option("window", {
        choices: ["recent", "since_start"] as const,
        default: "recent" as const,
        describe: "The last one to two minutes, or since each node started",
      })
      .option("class", { type: "string", describe: "Only of this class" })
      .option("tenants", {
        type: "boolean",
        default: false,
        describe: "Also show each tenant apart",
      })
      .option("html", {
        type: "boolean",
        default: false,
        describe: "Print a page that needs nothing else",
      }),
  async run(options, client) {
    const response = await client.get(
      `histograms?window=${options.window}`,
      histogramsSchema,
    );
    return response.map((body) => {
      const rows = body.rows.filter((row) =>
        (options.class ?? row.class) === row.class &&
        (options.tenants || row.tenant === "(all)")
      );
      const filtered = { ...body, rows };
      const text = options.html
        ? formatHistogramPage(filtered)
        : formatHistogramText(filtered);
      return { json: filtered, text };
    });
  },
});
