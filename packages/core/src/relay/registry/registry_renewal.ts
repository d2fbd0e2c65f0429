import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../../shared/mod.ts";

/** How a node renews its proof that it has the whole registry of servers. */
export type RegistryRenewal =
  | "none"
  /** Asks another hub than the one it asks in each period. */
  | "ask_hub"
  /** Reads the registry itself. */
  | "read_log";

/** The state of a node from which a renewal is decided. */
export interface RegistryState {
  /** The age of its proof, or undefined if it has none. */
  readonly age: Duration | undefined;
  /** Whether other nodes ask it. */
  readonly isHub: boolean;
  /** The time between two exchanges that it begins. */
  readonly exchangePeriod: Duration;
  /** Whether its last call to the log was answered. */
  readonly isLogReachable: boolean;
  /** Whether a peer says that the log answers it. */
  readonly doPeersReachLog: boolean;
}

/**
 * The age at which a hub reads the registry itself. Two nodes read it every 650
 * ms, and their proofs reach a hub within two exchanges of 300 ms.
 */
const HUB_MAXIMUM_AGE = milliseconds(1_300);
/**
 * The age, beyond its exchange period, at which another node asks a second hub:
 * the first one may not answer.
 */
const MEMBER_ASKING_AGE = milliseconds(900);
/** The age, beyond its exchange period, at which it reads the registry itself. */
const MEMBER_READING_AGE = milliseconds(1_200);
/** The minimum time between two renewals of a kind. */
const RENEWAL_INTERVAL = milliseconds(600);
/** The bounds of the time between two decisions. */
const MINIMUM_DECISION_INTERVAL = milliseconds(50);
const MAXIMUM_DECISION_INTERVAL = milliseconds(500);

/** Decides when a node that others inform no longer relies on them. */
export class RegistryRenewals {
  #lastAskedAt: Instant | undefined;
  #lastReadAt: Instant | undefined;

  /**
   * Decides on a renewal, which the caller carries out.
   * @param now The present time.
   * @param state The state of the node.
   * @returns The renewal.
   */
  next(now: Instant, state: RegistryState): RegistryRenewal {
    const { age, isHub, exchangePeriod, isLogReachable } = state;
    if (age === undefined) return "none";
    const readingAge = isHub
      ? HUB_MAXIMUM_AGE
      : exchangePeriod + MEMBER_READING_AGE;
    if (
      age >= readingAge && isLogReachable && isDue(now, this.#lastReadAt)
    ) {
      this.#lastReadAt = now;
      return "read_log";
    }
    const asks = !isHub && state.doPeersReachLog &&
      age >= exchangePeriod + MEMBER_ASKING_AGE;
    if (!asks || !isDue(now, this.#lastAskedAt)) return "none";
    this.#lastAskedAt = now;
    return "ask_hub";
  }

  /**
   * Returns how long the next decision may be put off.
   * @param state The state of the node.
   * @returns The time.
   */
  nextDecisionDelay(
    { age, isHub, exchangePeriod }: RegistryState,
  ): Duration {
    if (age === undefined) return MAXIMUM_DECISION_INTERVAL;
    const threshold = isHub
      ? HUB_MAXIMUM_AGE
      : exchangePeriod + MEMBER_ASKING_AGE;
    return milliseconds(
      Math.min(
        MAXIMUM_DECISION_INTERVAL,
        Math.max(MINIMUM_DECISION_INTERVAL, threshold - age),
      ),
    );
  }
}

function isDue(now: Instant, lastAt: Instant | undefined): boolean {
  return lastAt === undefined || elapsed(lastAt, now) >= RENEWAL_INTERVAL;
}
