import type { AttemptNumber, RequestId } from "@foxtailwind/core";
import type { AdapterReference } from "@foxtailwind/edges";
import { adapterKey } from "./adapter_key.ts";
import type { Generation } from "./generation.ts";

/** The retention of a `GenerationTable`. */
export interface GenerationTableOptions {
  /** How long ended generations and early cancels are kept. */
  readonly keepFinishedMilliseconds: number;
}

/**
 * The generations of an engine, and the cancels that arrived before their
 * attempts.
 */
export class GenerationTable {
  readonly #options: GenerationTableOptions;
  readonly #active = new Set<Generation>();
  /** The latest generation of each request. */
  readonly #latestByRequest = new Map<RequestId, Generation>();
  readonly #cancelledEarly = new Map<string, number>();

  /** @param options The retention of a `GenerationTable`. */
  constructor(options: GenerationTableOptions) {
    this.#options = options;
  }

  /** The generations that have not ended. */
  get active(): ReadonlySet<Generation> {
    return this.#active;
  }

  /**
   * Finds the latest generation of a request.
   * @param request The request.
   * @returns The generation, which may have ended, or `undefined`.
   */
  findLatest(request: RequestId): Generation | undefined {
    return this.#latestByRequest.get(request);
  }

  /**
   * Adds a generation.
   * @param generation The generation, which has not ended.
   */
  add(generation: Generation): void {
    this.#active.add(generation);
    this.#latestByRequest.set(generation.request, generation);
  }

  /**
   * Removes a generation from the active ones. It can be found until it is
   * pruned.
   * @param generation The generation, which has ended.
   */
  deactivate(generation: Generation): void {
    this.#active.delete(generation);
  }

  /**
   * Lists the active generations that use an adapter.
   * @param adapter The requested adapter.
   * @returns The generations.
   */
  findActiveByAdapter(adapter: AdapterReference): readonly Generation[] {
    const key = adapterKey(adapter);
    return [...this.#active].filter((generation) =>
      adapterKey(generation.requestedAdapter) === key
    );
  }

  /**
   * Records the cancel of an attempt that has not arrived.
   * @param request The request.
   * @param options The attempt and the time.
   */
  cancelEarly(
    request: RequestId,
    options: { readonly attempt: AttemptNumber; readonly now: number },
  ): void {
    this.#cancelledEarly.set(attemptKey(request, options.attempt), options.now);
  }

  /**
   * Checks whether an attempt was cancelled before it arrived.
   * @param request The request.
   * @param attempt The attempt.
   * @returns Whether it must not run.
   */
  wasCancelledEarly(request: RequestId, attempt: AttemptNumber): boolean {
    return this.#cancelledEarly.has(attemptKey(request, attempt));
  }

  /**
   * Removes ended generations and early cancels past their retention.
   * @param now A monotonic clock reading in milliseconds.
   */
  prune(now: number): void {
    const expiredBefore = now - this.#options.keepFinishedMilliseconds;
    for (const [request, generation] of this.#latestByRequest) {
      if (generation.endedAt < expiredBefore) {
        this.#latestByRequest.delete(request);
      }
    }
    for (const [key, cancelledAt] of this.#cancelledEarly) {
      if (cancelledAt < expiredBefore) this.#cancelledEarly.delete(key);
    }
  }
}

function attemptKey(request: RequestId, attempt: AttemptNumber): string {
  return `${request}/${attempt}`;
}
