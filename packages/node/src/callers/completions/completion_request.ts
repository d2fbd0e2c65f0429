import * as z from "zod";

const MAXIMUM_TOKENS = 32_768;
const DEFAULT_TOKENS = 256;
const MAXIMUM_MESSAGES = 1_024;
const MAXIMUM_NAME_LENGTH = 257;

/** The maximum length of one text part of a message, in characters. */
export const MAXIMUM_MESSAGE_CHARACTERS = 1_048_576;

const text = z.string().max(MAXIMUM_MESSAGE_CHARACTERS);

const textPart = z.object({ type: z.literal("text"), text });

const content = z.union([
  text,
  z.array(textPart).min(1).transform((parts) =>
    parts.map((part) => part.text).join("")
  ),
]);

const role = z.enum(["system", "developer", "user", "assistant"])
  .transform((name) => name === "developer" ? "system" : name);

const tokenLimit = z.number().int().positive().max(MAXIMUM_TOKENS).nullish();

/** The supported fields of a completion request. */
export const completionRequestSchema = z.object({
  model: z.string().min(1).max(MAXIMUM_NAME_LENGTH)
    .describe("adapter, or adapter@version; alone it is the current version"),
  messages: z.array(z.object({ role, content })).min(1).max(MAXIMUM_MESSAGES),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: tokenLimit,
  max_completion_tokens: tokenLimit,
});

/** A validated completion request. */
export type CompletionRequest = z.output<typeof completionRequestSchema>;

/**
 * Returns the maximum number of tokens that a request may generate.
 * @param body The request.
 * @returns The limit in tokens.
 */
export function maximumTokensOf(body: CompletionRequest): number {
  return body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_TOKENS;
}
