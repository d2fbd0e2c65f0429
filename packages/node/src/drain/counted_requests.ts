import type { FastifyInstance } from "fastify";
import type { Drain } from "./drain.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

/** The dependencies of {@link countRequests}. */
export interface CountedRequestsParts {
  readonly work: WorkInProgress;
  readonly drain: Drain;
}

/**
 * Counts the HTTP requests in progress, and asks callers to close their
 * connections once the node is leaving.
 * @param application The HTTP server.
 * @param parts The request counter, and the drain, which knows whether the node
 * is leaving.
 */
export function countRequests(
  application: FastifyInstance,
  parts: CountedRequestsParts,
): void {
  application.addHook("onRequest", (_request, reply, done) => {
    const end = parts.work.begin();
    reply.raw.once("close", end);
    if (parts.drain.isLeaving) reply.raw.setHeader("connection", "close");
    done();
  });
}
