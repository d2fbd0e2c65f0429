import type { Failure } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** The outcome of a keyed request: its encoded answer, or a failure. */
export type KeyedResult = Result<Uint8Array, Failure>;

/**
 * Handles a request on the node that may run its key. It must send the request
 * at most once: it may retry only if the first try is proven not to have run.
 * @param payload The encoded request.
 * @param key The key as the caller sent it.
 * @returns The encoded answer, or a failure whose outcome states truthfully
 * whether the request ran.
 */
export type KeyedRequestHandler = (
  payload: Uint8Array,
  key: string,
) => Promise<KeyedResult>;

/** A request that must run at most once. */
export interface KeyedRequest {
  /** The name of the registered handler, on whichever node runs the request. */
  readonly work: string;
  /** The `Idempotency-Key` as the caller sent it. */
  readonly key: string;
  /** The encoded request that the handler receives. */
  readonly payload: Uint8Array;
  /**
   * The bytes that a retry must repeat, by default the whole payload. A request
   * that reuses the key with other bytes is refused.
   */
  readonly identity?: Uint8Array;
}

/** Runs at most one request per key, across all nodes and caller retries. */
export abstract class KeyedExecution {
  /**
   * Registers a handler. Must be called before the daemon serves callers or
   * peers.
   * @param name The handler's name, the same on all nodes.
   * @param handler Handles one request.
   */
  abstract register(name: string, handler: KeyedRequestHandler): void;

  /**
   * Runs a request on the node that may run its key, or returns the outcome of
   * the key's first run. A different request with the same key is refused.
   * @param request The request.
   * @returns The outcome of the key's only run; or a failure that says why it
   * did not run, or that its outcome is unknown and it will not be run.
   */
  abstract execute(request: KeyedRequest): Promise<KeyedResult>;

  /**
   * Creates the prefix that callers put before their own keys so that only this
   * node runs them. `GET /v1/addresses` returns it.
   * @param lifetimeMilliseconds How long callers may use it for new keys;
   * retries are accepted for some time longer.
   * @returns The prefix.
   */
  abstract createScopePrefix(lifetimeMilliseconds: number): string;
}
