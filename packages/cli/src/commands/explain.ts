import * as z from "zod";
import { err, ok } from "neverthrow";
import { EXIT_CODE } from "../exit_code.ts";
import { explainRequest } from "../logs/explain_request.ts";
import { readLogs } from "../logs/read_logs.ts";
import { formatExplanations } from "../output/explanation_text.ts";
import { formatLogExplanation } from "../output/log_explanation_text.ts";
import { type Command, type CommandResult, defineCommand } from "./command.ts";

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

/** The steps of a request that the nodes recorded, as returned by a node. */
export type ExplanationsResponse = z.output<typeof explanationsSchema>;

/** Explains what happened to a recent request. */
export const EXPLAIN_COMMAND: Command = defineCommand({
  command: "explain <request>",
  describe: "Explain what happened to a recent request, and where",
  options: (parser) =>
    parser.positional("request", {
      type: "string",
      demandOption: true,
      describe: "The id that the answer carried as x-request-id",
    })
      .option("log", {
        type: "string",
        array: true,
        describe: "Read these nodes' logs instead (- for standard input)",
      }),
  runWithoutNode: ({ request, log }) =>
    log === undefined ? undefined : explainFromLogs(log, request),
  async run(options, client) {
    const response = await client.get(
      `explanations/${encodeURIComponent(options.request)}`,
      explanationsSchema,
    );
    return response.map((body) => ({
      json: body,
      text: formatExplanations(body),
    }));
  },
});

async function explainFromLogs(
  files: readonly string[],
  requestId: string,
): Promise<CommandResult> {
  const lines = await readLogs(files, requestId);
  if (lines.isErr()) return err(lines.error);
  const explanation = explainRequest(lines.value, requestId);
  if (explanation === undefined) {
    return err({
      code: EXIT_CODE.notFound,
      message: `No line says that request ${requestId} ended.`,
      remedy: "Give the logs of all nodes, from before the request's arrival.",
    });
  }
  return ok({ json: explanation, text: formatLogExplanation(explanation) });
}
