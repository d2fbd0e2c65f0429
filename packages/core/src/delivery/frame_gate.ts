import {
  type AdapterReference,
  assertInvariant,
  type AttemptNumber,
  type RequestId,
  sameAdapter,
} from "../shared/mod.ts";
import type { DeliveryRules } from "./delivery_rules.ts";

/** A frame as it arrives, before anything is known of it. */
export interface ArrivingFrame {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly sequence: number;
  readonly tokens: readonly string[];
  readonly adapter: AdapterReference;
}

/** What to do with a frame. */
export type FrameVerdict =
  | { readonly kind: "pass"; readonly tokens: readonly string[] }
  | { readonly kind: "drop"; readonly reason: DropReason }
  /** A frame before it is missing: the stream must be read again. */
  | { readonly kind: "gap" }
  | { readonly kind: "mismatch" };

/** Why a frame is dropped. */
export type DropReason = "late" | "foreign" | "repeated" | "misordered";

/** How many frames were dropped, by reason. */
export type DroppedFrames = Readonly<Record<DropReason, number>>;

/** What a gate lets through. */
export interface FrameGateOptions {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  readonly rules: DeliveryRules;
}

/** Lets through each token of one request's present attempt once, in order. */
export class FrameGate {
  readonly #options: FrameGateOptions;
  readonly #dropped = { late: 0, foreign: 0, repeated: 0, misordered: 0 };
  #attempt: AttemptNumber | undefined;
  #next = 0;
  #gap = false;

  /** @param options What the gate lets through. */
  constructor(options: FrameGateOptions) {
    this.#options = options;
  }

  /** The sequence of the next token wanted. */
  get next(): number {
    return this.#next;
  }

  /** The frames dropped so far. */
  get dropped(): DroppedFrames {
    return this.#dropped;
  }

  /**
   * Opens the gate to another attempt only.
   * @param attempt The attempt.
   * @param from The first sequence that it gives.
   */
  open(attempt: AttemptNumber, from: number): void {
    this.#attempt = attempt;
    this.#next = from;
    this.#gap = false;
  }

  /** Closes the gate: whatever arrives now is late. */
  close(): void {
    this.#attempt = undefined;
  }

  /**
   * Judges a frame.
   * @param frame The frame.
   * @returns What to do with it.
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
      () => `A frame of attempt ${frame.attempt} is not of the present one.`,
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
