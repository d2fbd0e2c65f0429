import {
  assertInvariant,
  type Duration,
  elapsed,
  type Instant,
  later,
  seconds,
} from "../shared/mod.ts";

/** The phase of a planned stop. */
export type StopPhase = "serving" | "leaving" | "finishing" | "stopped";

/** An action that a planned stop requests; the caller executes it. */
export type StopAction =
  /** Notify all peers that this node accepts no new work. */
  | { readonly kind: "announce" }
  /** Transfer the engines that this node controls to other nodes. */
  | { readonly kind: "hand_over" }
  /** Close the listening sockets; `cutOff` counts the requests cut off. */
  | { readonly kind: "stop"; readonly cutOff: number };

/** The time limits of a planned stop. */
export interface PlannedStopOptions {
  /** How long callers may use an address answer that contains this node. */
  readonly addressLifetime: Duration;
  /** The operator's limit, after which work is cut off; none by default. */
  readonly maximumWait?: Duration;
}

/** How long to wait for peers before the announcement counts as done. */
const MAXIMUM_ANNOUNCEMENT_WAIT = seconds(2);
/** How long a hand-over may delay an otherwise finished stop. */
const MAXIMUM_HAND_OVER_WAIT = seconds(10);

/**
 * The state machine of a planned stop. The node is removed from address
 * answers, hands its engines over, serves new requests until no caller can
 * still have its address, finishes all requests and stops.
 */
export class PlannedStop {
  readonly #terms: PlannedStopOptions;
  #phase: StopPhase = "serving";
  #startedAt: Instant | undefined;
  #announcedAt: Instant | undefined;
  #isHandedOver = false;
  #pendingActions: StopAction[] = [];

  /** @param terms The time limits of the stop. */
  constructor(terms: PlannedStopOptions) {
    this.#terms = terms;
  }

  /** The current phase. */
  get phase(): StopPhase {
    return this.#phase;
  }

  /**
   * Begins the stop. Later calls have no effect.
   * @param now The current time.
   */
  begin(now: Instant): void {
    if (this.#phase !== "serving") return;
    this.#phase = "leaving";
    this.#startedAt = now;
    this.#pendingActions.push({ kind: "announce" }, { kind: "hand_over" });
  }

  /**
   * Records that all reachable peers have been notified.
   * @param now The current time.
   */
  announced(now: Instant): void {
    this.#announcedAt ??= now;
  }

  /** Records that the hand-over ended, successfully or not. */
  handedOver(): void {
    this.#isHandedOver = true;
  }

  /**
   * Advances the phase and returns the actions that are due.
   * @param now The current time.
   * @param inProgress The number of callers' and peers' requests in progress.
   * @returns The actions, in the order in which to execute them.
   */
  decide(now: Instant, inProgress: number): readonly StopAction[] {
    if (this.#phase === "leaving" && this.#canFinish(now)) {
      this.#phase = "finishing";
    }
    const isDone = this.#phase === "finishing" && inProgress === 0;
    if (isDone || this.#isOverdue(now)) this.#stop(now, inProgress);
    const actions = this.#pendingActions;
    this.#pendingActions = [];
    return actions;
  }

  /**
   * Computes when a decision may change even if no request ends before.
   * @returns The time to decide again, or undefined if there is none.
   */
  nextWake(): Instant | undefined {
    if (this.#startedAt === undefined || this.#phase === "stopped") {
      return undefined;
    }
    const deadlines: Instant[] = [];
    if (this.#phase === "leaving") deadlines.push(...this.#leavingDeadlines());
    const { maximumWait: longestWait } = this.#terms;
    if (longestWait !== undefined) {
      deadlines.push(later(this.#startedAt, longestWait));
    }
    return deadlines.length === 0
      ? undefined
      : Math.min(...deadlines) as Instant;
  }

  #stop(now: Instant, inProgress: number): void {
    if (this.#phase === "stopped") return;
    assertInvariant(
      inProgress === 0 || this.#isOverdue(now),
      "planned_stop_cuts_off_nothing",
      () => `${inProgress} requests are in progress.`,
    );
    this.#phase = "stopped";
    this.#pendingActions.push({ kind: "stop", cutOff: inProgress });
  }

  #canFinish(now: Instant): boolean {
    const startedAt = this.#startedAt ?? now;
    const areAddressesExpired = now >= this.#addressExpiry(startedAt);
    const isHandOverDone = this.#isHandedOver ||
      elapsed(startedAt, now) >= MAXIMUM_HAND_OVER_WAIT;
    return areAddressesExpired && isHandOverDone;
  }

  #leavingDeadlines(): readonly Instant[] {
    const startedAt = this.#startedAt;
    if (startedAt === undefined) return [];
    const expiry = this.#addressExpiry(startedAt);
    if (this.#isHandedOver) return [expiry];
    return [
      Math.max(expiry, later(startedAt, MAXIMUM_HAND_OVER_WAIT)) as Instant,
    ];
  }

  /** Answers given before a peer was notified are the last to expire. */
  #addressExpiry(startedAt: Instant): Instant {
    const announcedAt = this.#announcedAt ??
      later(startedAt, MAXIMUM_ANNOUNCEMENT_WAIT);
    return later(announcedAt, this.#terms.addressLifetime);
  }

  #isOverdue(now: Instant): boolean {
    const { maximumWait: longestWait } = this.#terms;
    if (longestWait === undefined || this.#startedAt === undefined) {
      return false;
    }
    return elapsed(this.#startedAt, now) >= longestWait;
  }
}
