import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "@foxtailwind/core";
import type { NodeDigest } from "@foxtailwind/protocol";
import type { NodeRecord } from "./shared_log.ts";

/** A node that is silent for longer counts as gone: six missed exchanges. */
export const SILENCE_TIMEOUT: Duration = milliseconds(1_500);
/** A node that exchanges more rarely counts as gone after so many periods. */
const SILENCE_TIMEOUT_PERIODS = 2.5;
/**
 * What hubs pass on may be so much older: its node tells its hub every 600 ms,
 * two hubs ask on its way every 300 ms, and the last node every 600 ms.
 */
const RELAY_DELAY_MILLISECONDS = 1_800;

/** Another node, as far as this one has heard of it. */
export interface KnownPeer {
  readonly record: NodeRecord;
  readonly digest?: NodeDigest;
  readonly heardAt?: Instant | undefined;
  readonly knownSince: Instant;
  /** Whether it was heard last by way of another node. */
  readonly isRelayed: boolean;
  /** Its place in the ages that this node tells. */
  readonly index: number;
  /** The count of changes at which something but its engines changed last. */
  readonly changedAt: number;
  /** The count of changes at which its engines changed last. */
  readonly enginesChangedAt: number;
}

/** What is known of a node once a digest of it has come. */
export interface MergedDigest {
  readonly digest: NodeDigest;
  /** Whether anything but the engines has changed. */
  readonly hasNewState: boolean;
  readonly hasNewEngineStates: boolean;
}

/**
 * Puts a digest together with what is known. Digests of one run are numbered,
 * and so are the states of its engines, which may be left out; of two runs,
 * the one that was given last is of the later one.
 * @param known What is known of the node.
 * @param digest What has come.
 * @param heardAt When the node gave it.
 * @returns What is known then, or nothing where the digest is of an older run.
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
    const hasNewEngines = digest.engineStates !== undefined;
    return { digest, hasNewState: true, hasNewEngineStates: hasNewEngines };
  }
  const hasNewState = digest.sequence > before.sequence;
  const { engineStates } = digest;
  const hasNewEngines = engineStates !== undefined &&
    engineStates.sequence > (before.engineStates?.sequence ?? 0);
  return {
    digest: {
      ...(hasNewState ? digest : before),
      engineStates: hasNewEngines ? engineStates : before.engineStates,
    },
    hasNewState: hasNewState,
    hasNewEngineStates: hasNewEngines,
  };
}

/**
 * Tells after how long a silence a node counts as gone.
 * @param peer The node.
 * @returns The time, without what news take by way of other nodes.
 */
export function silenceTimeoutOf({ digest }: KnownPeer): Duration {
  const period = digest?.periodMilliseconds ?? 0;
  return milliseconds(
    Math.max(SILENCE_TIMEOUT, period * SILENCE_TIMEOUT_PERIODS),
  );
}

/**
 * Tells whether a node was heard lately.
 * @param peer The node.
 * @param now The present time.
 * @param limit How long ago at most, where it was heard directly.
 * @returns Whether it was.
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
