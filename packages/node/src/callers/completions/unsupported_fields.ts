import { closest } from "fastest-levenshtein";
import { err, ok, type Result } from "neverthrow";
import { completionRequestSchema } from "./completion_request.ts";

/** Fields accepted without effect; a response header lists them. */
export const IGNORED_FIELDS: readonly string[] = [
  "frequency_penalty",
  "metadata",
  "parallel_tool_calls",
  "presence_penalty",
  "prompt_cache_key",
  "reasoning_effort",
  "safety_identifier",
  "seed",
  "service_tier",
  "temperature",
  "top_p",
  "user",
  "verbosity",
];

/** Unsupported fields that change the answer, with their neutral values. */
export const REFUSED_FIELDS: Readonly<Record<string, readonly string[]>> = {
  audio: [],
  function_call: ['"none"'],
  functions: ["[]"],
  logit_bias: ["{}"],
  logprobs: ["false"],
  modalities: ['["text"]'],
  n: ["1"],
  prediction: [],
  response_format: ['{"type":"text"}'],
  stop: ["[]"],
  store: ["false"],
  tool_choice: ['"none"'],
  tools: ["[]"],
  top_logprobs: ["0"],
  web_search_options: [],
};

const USED_FIELDS: ReadonlySet<string> = new Set(
  Object.keys(completionRequestSchema.shape),
);
const IGNORED: ReadonlySet<string> = new Set(IGNORED_FIELDS);
const ALL_FIELDS = [
  ...USED_FIELDS,
  ...IGNORED_FIELDS,
  ...Object.keys(REFUSED_FIELDS),
];

/**
 * Classifies the fields of a request: sampling fields are ignored; fields that
 * ask for another kind of answer are refused unless neutral; unknown fields
 * are refused.
 * @param body The request's body.
 * @returns The names of the ignored fields, or an error message.
 */
export function checkFields(body: object): Result<readonly string[], string> {
  const ignored: string[] = [];
  for (const [name, value] of Object.entries(body)) {
    if (USED_FIELDS.has(name) || value === null) continue;
    if (IGNORED.has(name)) {
      ignored.push(name);
      continue;
    }
    const problem = describeFieldProblem(name, value);
    if (problem !== undefined) return err(problem);
  }
  return ok(ignored);
}

function describeFieldProblem(
  name: string,
  value: unknown,
): string | undefined {
  if (!Object.hasOwn(REFUSED_FIELDS, name)) {
    const nearest = closest(name, ALL_FIELDS);
    return `Field "${name}" is unknown; the nearest known one is "${nearest}".`;
  }
  const neutral = REFUSED_FIELDS[name] ?? [];
  if (neutral.includes(JSON.stringify(value))) return undefined;
  return neutral.length === 0
    ? `Field "${name}" is not supported: leave it out.`
    : `Field "${name}" is not supported: leave it out or send ${neutral[0]}.`;
}
