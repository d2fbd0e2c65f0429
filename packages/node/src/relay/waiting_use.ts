import {
  type AdapterName,
  type AdmissionTerms,
  type Duration,
  elapsed,
  type Instant,
  later,
} from "@foxtailwind/core";
import type { AdmissionOutcome, AdmissionRecord } from "./admission_record.ts";
import type { UseAnswer, UseRequest } from "./engine_use.ts";

/** Where a request waits, and when it began. */
export interface WaitingUseParts {
  readonly arrivedAt: Instant;
  readonly record: AdmissionRecord;
  readonly now: () => Instant;
}

/** A request that waits for its adapter or for a place on one engine. */
export class WaitingUse {
  /** `undefined` for the base model itself. */
  readonly name: AdapterName | undefined;
  readonly request: UseRequest;
  readonly terms: AdmissionTerms;
  /** The version that is in use for it; 0 until its adapter is loaded. */
  version = 0;
  /** Settles with the final answer. */
  readonly answer: Promise<UseAnswer>;
  readonly #parts: WaitingUseParts;
  readonly #signal: AbortSignal;
  readonly #cancel: () => void;
  #resolve!: (answer: UseAnswer) => void;
  #isAnswered = false;

  /**
   * @param request The requested use.
   * @param signal Cancels the request.
   * @param onCancel Called after a cancellation.
   * @param parts Where it waits.
   */
  constructor(
    request: UseRequest,
    signal: AbortSignal,
    onCancel: (use: WaitingUse) => void,
    parts: WaitingUseParts,
  ) {
    this.request = request;
    this.name = nameOf(request);
    this.terms = admissionTerms(parts.arrivedAt, request);
    this.#parts = parts;
    this.#signal = signal;
    this.answer = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#cancel = () => {
      this.end({ kind: "no_room" }, "withdrawn");
      onCancel(this);
    };
    parts.record.recordWaiting(this.terms.priority);
    signal.addEventListener("abort", this.#cancel, { once: true });
  }

  /** Whether the request was cancelled, also before it began to wait. */
  get isCancelled(): boolean {
    return this.#signal.aborted;
  }

  /**
   * Answers the request.
   * @param answer The answer.
   * @param outcome How the wait ended.
   */
  end(answer: UseAnswer, outcome: AdmissionOutcome): void {
    if (this.#isAnswered) return;
    this.#isAnswered = true;
    this.#signal.removeEventListener("abort", this.#cancel);
    this.#parts.record.recordEnd(this.terms.priority, outcome, this.#waited);
    this.#resolve(answer);
  }

  get #waited(): Duration {
    return elapsed(this.#parts.arrivedAt, this.#parts.now());
  }
}

/**
 * Returns what decides when a request gets a place.
 * @param now The present time.
 * @param request The request.
 * @returns The terms.
 */
export function admissionTerms(
  now: Instant,
  { queueing, prefillTime, needsBreak, timeLeft }: UseRequest,
): AdmissionTerms {
  return {
    priority: queueing?.priority ?? 0,
    account: queueing?.account,
    work: queueing?.work ?? 0,
    prefillTime,
    needsBreak,
    deadline: later(now, timeLeft),
    waitsUntil: queueing && later(now, queueing.longestWait),
  };
}

/**
 * Returns the adapter that a request uses.
 * @param request The request.
 * @returns The adapter; `undefined` for the base model itself.
 */
export function nameOf(
  { model, adapter }: Pick<UseRequest, "model" | "adapter">,
): AdapterName | undefined {
  return adapter === undefined ? undefined : { model, adapter };
}
