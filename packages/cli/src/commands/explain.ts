import * as z from "zod";
import { formatExplanations } from "../output/explanation_text.ts";
import { type Command, defineCommand } from "./command.ts";

const explanationSchema = z.object({
  classId: z.string(),
  tenant: z.string(),
  adapter: z.string(),
  open: z.boolean(),
  ageMilliseconds: z.number(),
  steps: z.array(z.object({
    afterMilliseconds: z.number(),
    kind: z.string(),
    sentence: z.string(),
  })),
  leftOut: z.number(),
  frames: z.number(),
  tokens: z.number(),
  firstFrameAfterMilliseconds: z.number().optional(),
  lastFrameAfterMilliseconds: z.number().optional(),
});

const explanationsSchema = z.object({
  nodes: z.array(z.object({
    node: z.string(),
    answered: z.boolean(),
    reason: z.string().optional(),
  })),
  found: z.array(z.object({
    node: z.string(),
    explanation: explanationSchema,
  })),
});

/** What the nodes saw of a request, as a node answers it. */
export type ExplanationsAnswer = z.output<typeof explanationsSchema>;

/** Explains what happened to a recent request. */
export const EXPLAIN_COMMAND: Command = defineCommand({
  command: "explain <request>",
  describe: "Explain what happened to a recent request, and where",
  options: (parser) =>
    parser.positional("request", {
      type: "string",
      demandOption: true,
      describe: "The id that the answer carried as x-request-id",
    }),
  async run(options, client) {
    const answer = await client.get(
      `explanations/${encodeURIComponent(options.request)}`,
      explanationsSchema,
    );
    return answer.map((found) => ({
      json: found,
      text: formatExplanations(found),
    }));
  },
});
