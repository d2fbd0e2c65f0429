import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "@foxtailwind/core";
import type { NodeDigest } from "@foxtailwind/protocol";
import type { NodeRecord } from "./shared_log.ts";

/** A node silent for longer counts as gone: six missed exchanges. */
export const SILENCE_TIMEOUT: Duration = milliseconds(1_500);
/** The timeout of nodes that exchange less often, in exchange periods. */
const SILENCE_TIMEOUT_PERIODS = 2.5;
/**
 * The additional age allowed for relayed digests: the origin exchanges with its
 * hub every 600 ms, two hubs on the way every 300 ms each, and the receiving
 * node every 600 ms.
 */
const RELAY_DELAY_MILLISECONDS = 1_800;

/** What this node knows about another node. */
export interface KnownPeer {
  readonly record: NodeRecord;
  readonly digest?: NodeDigest;
  readonly heardAt?: Instant | undefined;
  readonly knownSince: Instant;
  /** Whether the last contact was relayed by another node. */
  readonly isRelayed: boolean;
  /** Its index in the ages that this node sends. */
  readonly index: number;
  /** The change count at the last change other than of its engines. */
  readonly changedAt: number;
  /** The change count at the last change of its engines. */
  readonly enginesChangedAt: number;
}

/** The result of merging a digest into what is known of its node. */
export interface MergedDigest {
  readonly digest: NodeDigest;
  /** Whether anything other than the engine states has changed. */
  readonly hasNewState: boolean;
  readonly hasNewEngineStates: boolean;
}

/**
 * Merges a digest into what is known of its node. Digests of one run carry
 * sequence numbers, and so do the engine states, which may be omitted. Of the
 * digests of two runs, the one created last belongs to the later run.
 * @param known What is known of the node.
 * @param digest The received digest.
 * @param heardAt When the node created it.
 * @returns The merged digest, or undefined if the digest is of an older run.
 */
export function mergeDigest(
  known: KnownPeer | undefined,
  digest: NodeDigest,
  heardAt: Instant,
): MergedDigest | undefined {
  const before = known?.digest;
  const isOtherRun = before?.incarnation !== digest.incarnation;
  if (before === undefined || isOtherRun) {
    const isOlderRun = before !== undefined && known?.heardAt !== undefined &&
      heardAt <= known.heardAt;
    if (isOlderRun) return undefined;
    const hasNewEngineStates = digest.engineStates !== undefined;
    return { digest, hasNewState: true, hasNewEngineStates };
  }
  const hasNewState = digest.sequence > before.sequence;
  const { engineStates } = digest;
  const hasNewEngineStates = engineStates !== undefined &&
    engineStates.sequence > (before.engineStates?.sequence ?? 0);
  return {
    digest: {
      ...(hasNewState ? digest : before),
      engineStates: hasNewEngineStates ? engineStates : before.engineStates,
    },
    hasNewState,
    hasNewEngineStates,
  };
}

/**
 * Returns how long a node may be silent before it counts as gone.
 * @param peer The node.
 * @returns The time, without the allowance for relayed digests.
 */
export function silenceTimeoutOf({ digest }: KnownPeer): Duration {
  const period = digest?.periodMilliseconds ?? 0;
  return milliseconds(
    Math.max(SILENCE_TIMEOUT, period * SILENCE_TIMEOUT_PERIODS),
  );
}

/**
 * Determines whether a node was heard recently.
 * @param peer The node.
 * @param now The present time.
 * @param limit The maximum age of a direct contact.
 * @returns Whether its last contact is recent enough.
 */
export function isFresh(
  peer: KnownPeer,
  now: Instant,
  limit: Duration,
): boolean {
  const allowance = peer.isRelayed ? RELAY_DELAY_MILLISECONDS : 0;
  return peer.heardAt !== undefined &&
    elapsed(peer.heardAt, now) < limit + allowance;
}
