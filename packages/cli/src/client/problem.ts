import * as z from "zod";
import type { CommandFailure } from "../command_failure.ts";
import { EXIT_CODE, type ExitCode } from "../exit_code.ts";

const problemSchema = z.object({
  status: z.number(),
  detail: z.string(),
  outcome: z.enum(["not_run", "unknown", "ran"]).optional(),
  remedy: z.string().optional(),
});

const EXIT_CODE_BY_STATUS: Readonly<Record<number, ExitCode>> = {
  400: EXIT_CODE.usage,
  404: EXIT_CODE.notFound,
  409: EXIT_CODE.conflict,
  413: EXIT_CODE.usage,
  429: EXIT_CODE.unavailable,
  503: EXIT_CODE.unavailable,
};

/**
 * Converts a node's error response to a failure.
 * @param status The HTTP status.
 * @param body The body: problem details (RFC 9457) if the node itself wrote it.
 * @returns The failure, with the exit code for its status and outcome.
 */
export function failureFromProblem(
  status: number,
  body: unknown,
): CommandFailure {
  const problem = problemSchema.safeParse(body);
  const code = EXIT_CODE_BY_STATUS[status] ?? EXIT_CODE.failed;
  if (!problem.success) {
    return { code, message: `The node answered with status ${status}.` };
  }
  const { detail, outcome, remedy } = problem.data;
  return {
    code: outcome === "unknown" ? EXIT_CODE.unknown : code,
    message: detail,
    ...(remedy !== undefined && { remedy }),
  };
}
