import { z } from "zod";

const MAXIMUM_TOKENS = 32_768;
const DEFAULT_TOKENS = 256;

const textPart = z.object({ type: z.literal("text"), text: z.string() });

const content = z.union([
  z.string(),
  z.array(textPart).transform((parts) =>
    parts.map((part) => part.text).join("")
  ),
]);

/** The body of a completion request, as the common chat API has it. */
export const completionRequestSchema = z.object({
  /** `adapter` or `adapter@version`. */
  model: z.string().min(1),
  messages: z.array(z.object({
    role: z.enum(["system", "user", "assistant"]),
    content,
  })).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(MAXIMUM_TOKENS).optional(),
  max_completion_tokens: z.number().int().positive().max(MAXIMUM_TOKENS)
    .optional(),
});

/** A completion request, checked. */
export type CompletionRequest = z.output<typeof completionRequestSchema>;

/**
 * Tells how many tokens a request may generate.
 * @param body The request.
 * @returns The limit in tokens.
 */
export function maximumTokensOf(body: CompletionRequest): number {
  return body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_TOKENS;
}
