import { type Duration, milliseconds } from "../shared/mod.ts";

/** The timing parameters of membership and failure detection. */
export interface MembershipTiming {
  readonly heartbeatInterval: Duration;
  /** The time without a heartbeat after which a peer is suspected. */
  readonly suspectAfter: Duration;
  /** How long a reported state is forwarded and considered valid. */
  readonly digestLifetime: Duration;
  /** How long a run that announced its departure counts as leaving. */
  readonly leavingLifetime: Duration;
  /** The additional wait of each next candidate before proposing a view. */
  readonly proposalStagger: Duration;
  /**
   * The additional wait of a node that suspects more than half of its
   * heartbeat peers, since the node itself may be isolated.
   */
  readonly isolationWait: Duration;
  /** How long a node waits for a pending proposal before proposing again. */
  readonly proposalTimeout: Duration;
}

/** The default timing parameters. */
export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  heartbeatInterval: milliseconds(300),
  suspectAfter: milliseconds(1_200),
  digestLifetime: milliseconds(3_000),
  leavingLifetime: milliseconds(60_000),
  proposalStagger: milliseconds(300),
  isolationWait: milliseconds(3_000),
  proposalTimeout: milliseconds(1_000),
};
