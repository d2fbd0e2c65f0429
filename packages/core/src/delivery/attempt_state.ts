import { assertInvariant } from "../shared/mod.ts";

/** Where one attempt at a request stands. */
export type AttemptState =
  | "accepted"
  | "claimed"
  | "handed_over"
  | "dispatched"
  | "answered"
  | "not_run"
  | "unknown";

const NEXT_STATES: Readonly<Record<AttemptState, readonly AttemptState[]>> = {
  accepted: ["claimed", "handed_over", "not_run"],
  claimed: ["handed_over", "not_run"],
  handed_over: ["dispatched", "answered", "not_run", "unknown"],
  dispatched: ["answered", "not_run", "unknown"],
  answered: [],
  not_run: [],
  unknown: [],
};

/** One attempt at a request; its state only ever moves forward. */
export class AttemptProgress {
  #state: AttemptState = "accepted";

  /** Where the attempt stands. */
  get state(): AttemptState {
    return this.#state;
  }

  /** Whether the attempt may have reached someone who can run it. */
  get isOpen(): boolean {
    return this.#state === "handed_over" || this.#state === "dispatched";
  }

  /**
   * Moves the attempt on.
   * @param next The state that it reaches.
   */
  moveTo(next: AttemptState): void {
    if (next === this.#state) return;
    assertInvariant(
      NEXT_STATES[this.#state].includes(next),
      "attempt_moves_forward",
      () => `From ${this.#state} an attempt cannot become ${next}.`,
    );
    this.#state = next;
  }
}
