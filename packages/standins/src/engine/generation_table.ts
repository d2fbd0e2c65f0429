import type { AttemptNumber, RequestId } from "@foxtailwind/core";
import type { AdapterReference } from "@foxtailwind/edges";
import { adapterKey } from "./adapter_key.ts";
import type { Generation } from "./generation.ts";

/** How long the table remembers. */
export interface GenerationTableOptions {
  readonly keepFinishedMilliseconds: number;
}

/** The generations that an engine holds, and the cancels that came early. */
export class GenerationTable {
  readonly #options: GenerationTableOptions;
  readonly #live = new Set<Generation>();
  /** The latest generation of each request. */
  readonly #byRequest = new Map<RequestId, Generation>();
  readonly #cancelledEarly = new Map<string, number>();

  /** @param options How long the table remembers. */
  constructor(options: GenerationTableOptions) {
    this.#options = options;
  }

  /** The generations that have not ended. */
  get live(): ReadonlySet<Generation> {
    return this.#live;
  }

  /**
   * Finds the latest generation of a request.
   * @param request The request.
   * @returns The generation, also one that ended a while ago.
   */
  find(request: RequestId): Generation | undefined {
    return this.#byRequest.get(request);
  }

  /**
   * Adds a generation.
   * @param generation The generation, which has not ended.
   */
  add(generation: Generation): void {
    this.#live.add(generation);
    this.#byRequest.set(generation.request, generation);
  }

  /**
   * Takes a generation out of the live ones; it can still be found for a while.
   * @param generation The generation, which has ended.
   */
  retire(generation: Generation): void {
    this.#live.delete(generation);
  }

  /**
   * Lists the live generations that use an adapter.
   * @param adapter The adapter asked for.
   * @returns The generations.
   */
  using(adapter: AdapterReference): readonly Generation[] {
    const key = adapterKey(adapter);
    return [...this.#live].filter((one) => adapterKey(one.asked) === key);
  }

  /**
   * Remembers the cancel of an attempt that has not arrived.
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
   * Tells whether an attempt was cancelled before it arrived.
   * @param request The request.
   * @param attempt The attempt.
   * @returns Whether it must not run.
   */
  wasCancelledEarly(request: RequestId, attempt: AttemptNumber): boolean {
    return this.#cancelledEarly.has(attemptKey(request, attempt));
  }

  /**
   * Forgets what is too old.
   * @param now Milliseconds of a steady clock.
   */
  prune(now: number): void {
    const oldest = now - this.#options.keepFinishedMilliseconds;
    for (const [request, generation] of this.#byRequest) {
      if (generation.endedAt < oldest) this.#byRequest.delete(request);
    }
    for (const [key, cancelledAt] of this.#cancelledEarly) {
      if (cancelledAt < oldest) this.#cancelledEarly.delete(key);
    }
  }
}

function attemptKey(request: RequestId, attempt: AttemptNumber): string {
  return `${request}/${attempt}`;
}
