import {
  type AdapterReference,
  assertInvariant,
  type AttemptNumber,
  type RequestId,
  sameAdapter,
} from "../shared/mod.ts";
import type { DeliveryRules } from "./delivery_rules.ts";

/** A received frame that has not been checked yet. */
export interface ArrivingFrame {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly sequence: number;
  readonly tokens: readonly string[];
  readonly adapter: AdapterReference;
}

/** How a received frame is to be handled. */
export type FrameVerdict =
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
export interface FrameGateOptions {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  readonly rules: DeliveryRules;
}

/** Accepts each token of a request's current attempt once, in order. */
export class FrameGate {
  readonly #options: FrameGateOptions;
  readonly #dropped = { late: 0, foreign: 0, repeated: 0, misordered: 0 };
  #attempt: AttemptNumber | undefined;
  #next = 0;
  #gap = false;

  /** @param options The request and adapter to accept frames for. */
  constructor(options: FrameGateOptions) {
    this.#options = options;
  }

  /** The sequence number of the next expected token. */
  get next(): number {
    return this.#next;
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
  open(attempt: AttemptNumber, from: number): void {
    this.#attempt = attempt;
    this.#next = from;
    this.#gap = false;
  }

  /** Ends the current attempt; frames that arrive afterwards are late. */
  close(): void {
    this.#attempt = undefined;
  }

  /**
   * Decides how to handle a frame, and counts it if it is dropped.
   * @param frame The frame.
   * @returns The decision.
   */
  judge(frame: ArrivingFrame): FrameVerdict {
    const { request, adapter, rules } = this.#options;
    if (frame.request !== request) return this.#drop("foreign");
    if (
      this.#attempt === undefined ||
      !rules.acceptsAttempt(frame.attempt, this.#attempt)
    ) return this.#drop("late");
    if (!sameAdapter(frame.adapter, adapter)) return { kind: "mismatch" };
    const end = frame.sequence + frame.tokens.length;
    if (end <= this.#next) return this.#drop("repeated");
    if (frame.sequence > this.#next) return this.#misordered();
    return this.#pass(frame);
  }

  #pass(frame: ArrivingFrame): FrameVerdict {
    assertInvariant(
      frame.attempt === this.#attempt,
      "own_answer_only",
      () =>
        `A frame of attempt ${frame.attempt} is not of the current attempt.`,
    );
    const tokens = frame.tokens.slice(this.#next - frame.sequence);
    this.#next += tokens.length;
    return { kind: "pass", tokens };
  }

  #misordered(): FrameVerdict {
    this.#dropped.misordered += 1;
    if (this.#gap) return { kind: "drop", reason: "misordered" };
    this.#gap = true;
    return { kind: "gap" };
  }

  #drop(reason: DropReason): FrameVerdict {
    this.#dropped[reason] += 1;
    return { kind: "drop", reason };
  }
}
