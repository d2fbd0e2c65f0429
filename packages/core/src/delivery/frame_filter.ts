import {
  type AdapterReference,
  assertInvariant,
  type AttemptNumber,
  type RequestId,
  sameAdapter,
} from "../shared/mod.ts";
import type { DeliveryRules } from "./delivery_rules.ts";

/** A received frame that has not been checked yet. */
export interface ReceivedFrame {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly sequence: number;
  readonly tokens: readonly string[];
  readonly adapter: AdapterReference;
}

/** How a received frame is to be handled. */
export type FrameDecision =
  | { readonly kind: "pass"; readonly tokens: readonly string[] }
  | { readonly kind: "drop"; readonly reason: DropReason }
  /** An earlier frame is missing: the stream has to be read again. */
  | { readonly kind: "gap" }
  | { readonly kind: "mismatch" };

/** The reason for dropping a frame. */
export type DropReason = "late" | "foreign" | "repeated" | "misordered";

/** The number of dropped frames by reason. */
export type DroppedFrames = Readonly<Record<DropReason, number>>;

/** The request and adapter whose frames a filter accepts. */
export interface FrameFilterOptions {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  readonly rules: DeliveryRules;
}

/** Accepts each token of a request's current attempt once, in order. */
export class FrameFilter {
  readonly #options: FrameFilterOptions;
  readonly #dropped = { late: 0, foreign: 0, repeated: 0, misordered: 0 };
  #attempt: AttemptNumber | undefined;
  #nextSequence = 0;
  #hasReportedGap = false;

  /** @param options The request and adapter to accept frames for. */
  constructor(options: FrameFilterOptions) {
    this.#options = options;
  }

  /** The sequence number of the next expected token. */
  get nextSequence(): number {
    return this.#nextSequence;
  }

  /** The number of frames dropped so far, by reason. */
  get dropped(): DroppedFrames {
    return this.#dropped;
  }

  /**
   * Accepts frames of a new attempt only.
   * @param attempt The attempt.
   * @param from The sequence number of the attempt's first token.
   */
  startAttempt(attempt: AttemptNumber, from: number): void {
    this.#attempt = attempt;
    this.#nextSequence = from;
    this.#hasReportedGap = false;
  }

  /** Ends the current attempt; frames that arrive afterwards are late. */
  endAttempt(): void {
    this.#attempt = undefined;
  }

  /**
   * Decides how to handle a frame, and counts it if it is dropped.
   * @param frame The frame.
   * @returns The decision.
   */
  classify(frame: ReceivedFrame): FrameDecision {
    const { request, adapter, rules } = this.#options;
    if (frame.request !== request) return this.#drop("foreign");
    if (
      this.#attempt === undefined ||
      !rules.acceptsAttempt(frame.attempt, this.#attempt)
    ) return this.#drop("late");
    if (!sameAdapter(frame.adapter, adapter)) return { kind: "mismatch" };
    const end = frame.sequence + frame.tokens.length;
    if (end <= this.#nextSequence) return this.#drop("repeated");
    if (frame.sequence > this.#nextSequence) return this.#reportGap();
    return this.#pass(frame);
  }

  #pass(frame: ReceivedFrame): FrameDecision {
    assertInvariant(
      frame.attempt === this.#attempt,
      "own_answer_only",
      () =>
        `A frame of attempt ${frame.attempt} is not of the current attempt.`,
    );
    const tokens = frame.tokens.slice(this.#nextSequence - frame.sequence);
    this.#nextSequence += tokens.length;
    return { kind: "pass", tokens };
  }

  #reportGap(): FrameDecision {
    this.#dropped.misordered += 1;
    if (this.#hasReportedGap) return { kind: "drop", reason: "misordered" };
    this.#hasReportedGap = true;
    return { kind: "gap" };
  }

  #drop(reason: DropReason): FrameDecision {
    this.#dropped[reason] += 1;
    return { kind: "drop", reason };
  }
}
