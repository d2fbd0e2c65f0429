import type { FastifyReply } from "fastify";
import { toProblem } from "../callers/problem.ts";
import type { PublishFailure } from "../configuration/publish_failure.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Sends problem details (RFC 9457) to an operator: the failure, its remedy and,
 * for a conflict, the winning change.
 * @param reply The reply to write.
 * @param failure The failure.
 */
export async function sendOperatorProblem(
  reply: FastifyReply,
  failure: PublishFailure,
): Promise<void> {
  const { remedy, winner, retryAfterMilliseconds } = failure;
  const problem = {
    ...toProblem(failure),
    remedy,
    ...(winner !== undefined && { winner }),
  };
  if (retryAfterMilliseconds !== undefined) {
    const seconds = Math.ceil(retryAfterMilliseconds / MILLISECONDS_PER_SECOND);
    void reply.header("retry-after", String(seconds));
  }
  await reply.status(problem.status)
    .header("content-type", "application/problem+json")
    .send(problem);
}
