import { Agent, buildConnector } from "undici";
import { trackConnectionEnds } from "./connection_ends.ts";
import { resetUnanswered } from "./connection_resets.ts";

/** Timeouts of a dispatcher. */
export interface DispatcherOptions {
  readonly connectTimeoutMilliseconds?: number;
  readonly keepAliveMilliseconds?: number;
}

const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_KEEP_ALIVE_MILLISECONDS = 30_000;

/**
 * Creates a dispatcher that never queues a request behind another, so that a
 * long stream delays no other request and a failure affects only one request.
 * @param options Timeouts that differ from the defaults.
 * @returns The dispatcher; the caller has to close it.
 */
export function createDispatcher(options: DispatcherOptions = {}): Agent {
  return new Agent({
    pipelining: 1,
    connections: null,
    connect: resetUnanswered(trackConnectionEnds(buildConnector({
      timeout: options.connectTimeoutMilliseconds ??
        DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
      noDelay: true,
    }))),
    keepAliveTimeout: options.keepAliveMilliseconds ??
      DEFAULT_KEEP_ALIVE_MILLISECONDS,
  });
}
