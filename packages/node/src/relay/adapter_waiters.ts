import type { AdapterName } from "@foxtailwind/core";
import type { UseAnswer, UseRequest } from "./engine_use.ts";

/** A request that waits until an adapter is loaded. */
export interface Waiter {
  readonly name: AdapterName;
  readonly request: UseRequest;
  /** Aborted when the request is cancelled, also after its answer. */
  readonly signal: AbortSignal;
  /** Answers the request and removes it. */
  readonly answer: (answer: UseAnswer | Promise<UseAnswer>) => void;
}

/** The requests that wait until one engine has loaded their adapters. */
export class AdapterWaiters {
  readonly #waiters = new Set<Waiter>();

  /** The waiting requests, in order of arrival. */
  get all(): readonly Waiter[] {
    return [...this.#waiters];
  }

  /**
   * Adds a request until it is answered or cancelled.
   * @param name The adapter that it waits for.
   * @param request The requested use.
   * @param signal Cancels the request.
   * @param onCancel Called after the cancellation.
   * @returns The answer.
   */
  add(
    name: AdapterName,
    request: UseRequest,
    signal: AbortSignal,
    onCancel: () => void,
  ): Promise<UseAnswer> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        name,
        request,
        signal,
        answer: (answer) => {
          this.#waiters.delete(waiter);
          signal.removeEventListener("abort", cancel);
          resolve(answer);
        },
      };
      const cancel = () => {
        waiter.answer({ kind: "no_room" });
        onCancel();
      };
      signal.addEventListener("abort", cancel, { once: true });
      this.#waiters.add(waiter);
    });
  }

  /**
   * Checks whether any request waits for an adapter.
   * @param name The adapter.
   * @returns Whether one does.
   */
  has(name: AdapterName): boolean {
    return this.all.some((waiter) =>
      waiter.name.adapter === name.adapter && waiter.name.model === name.model
    );
  }

  /**
   * Refuses all waiting requests with the same answer.
   * @param answer The refusal.
   */
  answerAll(answer: Exclude<UseAnswer, { kind: "granted" }>): void {
    for (const waiter of this.all) waiter.answer(answer);
  }
}
