import { type Duration, milliseconds } from "../shared/mod.ts";

/** The times of the failure detector. */
export interface MembershipTiming {
  readonly heartbeatInterval: Duration;
  /** Silence after which a heartbeat peer is suspected. */
  readonly suspectAfter: Duration;
  /** How long a rumour is passed on and believed. */
  readonly digestLifetime: Duration;
  /** How long a run that has said that it leaves is taken as leaving. */
  readonly leavingLifetime: Duration;
  /** The wait of each further candidate before it proposes a view. */
  readonly proposalStagger: Duration;
  /**
   * The further wait of a node that suspects more than half of its heartbeat
   * peers, since it may itself be the one that is cut off.
   */
  readonly isolationWait: Duration;
  /** How long an unanswered proposal keeps a node from proposing again. */
  readonly proposalTimeout: Duration;
}

/** The times in force by default. */
export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  heartbeatInterval: milliseconds(300),
  suspectAfter: milliseconds(1_200),
  digestLifetime: milliseconds(3_000),
  leavingLifetime: milliseconds(60_000),
  proposalStagger: milliseconds(300),
  isolationWait: milliseconds(3_000),
  proposalTimeout: milliseconds(1_000),
};
