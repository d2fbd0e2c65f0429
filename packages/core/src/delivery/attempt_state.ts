import { assertInvariant } from "../shared/mod.ts";

/** The state of one attempt at a request. */
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

/** Tracks the state of one attempt, which only moves forward. */
export class AttemptProgress {
  #state: AttemptState = "accepted";

  /** The current state of the attempt. */
  get state(): AttemptState {
    return this.#state;
  }

  /** Whether the attempt may have reached a node or engine that runs it. */
  get isInFlight(): boolean {
    return this.#state === "handed_over" || this.#state === "dispatched";
  }

  /**
   * Advances the attempt to another state.
   * @param next The new state.
   */
  advanceTo(next: AttemptState): void {
    if (next === this.#state) return;
    assertInvariant(
      NEXT_STATES[this.#state].includes(next),
      "attempt_moves_forward",
      () => `An attempt cannot go from ${this.#state} to ${next}.`,
    );
    this.#state = next;
  }
}
