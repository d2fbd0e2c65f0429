import {
  assertInvariant,
  type Duration,
  elapsed,
  type Instant,
  later,
  seconds,
} from "../shared/mod.ts";

/** How far a planned stop has come. */
export type StopPhase = "serving" | "leaving" | "finishing" | "stopped";

/** What a planned stop wants done; the shell carries it out. */
export type StopOrder =
  /** Tells all peers that this node takes no new work. */
  | { readonly kind: "announce" }
  /** Gives the engines that this node controls to other nodes. */
  | { readonly kind: "hand_over" }
  /** Closes the listening sockets; nothing is in progress any more. */
  | { readonly kind: "stop"; readonly cutOff: number };

/** What bounds a planned stop. */
export interface PlannedStopTerms {
  /** How long callers may use an address answer that names this node. */
  readonly addressLifetime: Duration;
  /** The operator's bound, after which work is cut off; none by default. */
  readonly longestWait?: Duration;
}

/** How long peers are waited for before the node counts as announced. */
const LONGEST_ANNOUNCEMENT = seconds(2);
/** How long a hand-over may hold up a stop that has nothing else to do. */
const LONGEST_HAND_OVER = seconds(10);

/**
 * The course of a planned stop: the node leaves the address answers, hands
 * its engines over, serves what still arrives until no caller can hold its
 * address, finishes everything and stops.
 */
export class PlannedStop {
  readonly #terms: PlannedStopTerms;
  #phase: StopPhase = "serving";
  #begunAt: Instant | undefined;
  #announcedAt: Instant | undefined;
  #isHandedOver = false;
  #orders: StopOrder[] = [];

  /** @param terms What bounds the stop. */
  constructor(terms: PlannedStopTerms) {
    this.#terms = terms;
  }

  /** How far the stop has come. */
  get phase(): StopPhase {
    return this.#phase;
  }

  /**
   * Begins the stop. A second signal changes nothing.
   * @param now The present time.
   */
  begin(now: Instant): void {
    if (this.#phase !== "serving") return;
    this.#phase = "leaving";
    this.#begunAt = now;
    this.#orders.push({ kind: "announce" }, { kind: "hand_over" });
  }

  /**
   * Takes note that all reachable peers know.
   * @param now The present time.
   */
  announced(now: Instant): void {
    this.#announcedAt ??= now;
  }

  /** Takes note that the hand-over ended, well or not. */
  handedOver(): void {
    this.#isHandedOver = true;
  }

  /**
   * Decides what to do now.
   * @param now The present time.
   * @param inProgress How many requests of callers and peers are in progress.
   * @returns The orders, in the order in which to carry them out.
   */
  decide(now: Instant, inProgress: number): readonly StopOrder[] {
    if (this.#phase === "leaving" && this.#hasLeft(now)) {
      this.#phase = "finishing";
    }
    const isDone = this.#phase === "finishing" && inProgress === 0;
    if (isDone || this.#isOverdue(now)) this.#stop(now, inProgress);
    const orders = this.#orders;
    this.#orders = [];
    return orders;
  }

  /**
   * Tells when a decision may change though no work ends before.
   * @returns The time to decide again, or nothing.
   */
  nextWake(): Instant | undefined {
    if (this.#begunAt === undefined || this.#phase === "stopped") {
      return undefined;
    }
    const times: Instant[] = [];
    if (this.#phase === "leaving") times.push(...this.#leavingTimes());
    const { longestWait } = this.#terms;
    if (longestWait !== undefined) {
      times.push(later(this.#begunAt, longestWait));
    }
    return times.length === 0 ? undefined : Math.min(...times) as Instant;
  }

  #stop(now: Instant, inProgress: number): void {
    if (this.#phase === "stopped") return;
    assertInvariant(
      inProgress === 0 || this.#isOverdue(now),
      "planned_stop_cuts_off_nothing",
      () => `${inProgress} requests are in progress.`,
    );
    this.#phase = "stopped";
    this.#orders.push({ kind: "stop", cutOff: inProgress });
  }

  #hasLeft(now: Instant): boolean {
    const begunAt = this.#begunAt ?? now;
    const isGone = now >= this.#addressesEnd(begunAt);
    const isReleased = this.#isHandedOver ||
      elapsed(begunAt, now) >= LONGEST_HAND_OVER;
    return isGone && isReleased;
  }

  #leavingTimes(): readonly Instant[] {
    const begunAt = this.#begunAt;
    if (begunAt === undefined) return [];
    const end = this.#addressesEnd(begunAt);
    if (this.#isHandedOver) return [end];
    return [Math.max(end, later(begunAt, LONGEST_HAND_OVER)) as Instant];
  }

  /** Answers given before a peer knew are the last to run out. */
  #addressesEnd(begunAt: Instant): Instant {
    const announcedAt = this.#announcedAt ??
      later(begunAt, LONGEST_ANNOUNCEMENT);
    return later(announcedAt, this.#terms.addressLifetime);
  }

  #isOverdue(now: Instant): boolean {
    const { longestWait } = this.#terms;
    if (longestWait === undefined || this.#begunAt === undefined) return false;
    return elapsed(this.#begunAt, now) >= longestWait;
  }
}
