import type { Failure } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** The outcome of keyed work: its answer in the work's own form. */
export type KeyedResult = Result<Uint8Array, Failure>;

/**
 * Work that runs where its key may run. It must send what it does at most
 * once: no retry, unless a first try is proven not to have run.
 * @param payload The request, in the work's own form.
 * @param key The key as the caller sent it.
 * @returns The answer, or a failure that tells truthfully whether it ran.
 */
export type KeyedRequestHandler = (
  payload: Uint8Array,
  key: string,
) => Promise<KeyedResult>;

/** A request that must not run twice. */
export interface KeyedRequest {
  /** Names the registered work that runs it, on whichever node that is. */
  readonly work: string;
  /** The `Idempotency-Key` as the caller sent it. */
  readonly key: string;
  /** What the work gets. */
  readonly payload: Uint8Array;
  /**
   * What a retry must repeat byte for byte, where that is not the whole
   * payload: other uses of the key are refused.
   */
  readonly identity?: Uint8Array;
}

/** Runs work at most once for each key, over all nodes and caller retries. */
export abstract class KeyedExecution {
  /**
   * Registers work, before the daemon serves callers or peers.
   * @param name Names the work, alike on all nodes.
   * @param work Runs one request.
   */
  abstract register(name: string, work: KeyedRequestHandler): void;

  /**
   * Runs a request where its key may run, or gives the outcome of its first
   * run. One key stands for one request: another one is refused.
   * @param request The request.
   * @returns The outcome of the key's only run; or why it did not run, or
   * that nothing is known of it and it will not be run.
   */
  abstract execute(request: KeyedRequest): Promise<KeyedResult>;

  /**
   * Gives the text that callers put before their own keys, so that only this
   * node runs them; `GET /v1/addresses` passes it on.
   * @param lifetimeMilliseconds How long callers may use it for new keys;
   * retries may come for some time longer.
   * @returns The prefix.
   */
  abstract scopeText(lifetimeMilliseconds: number): string;
}
