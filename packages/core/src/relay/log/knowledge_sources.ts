import { type Duration, milliseconds, type NodeId } from "../../shared/mod.ts";

/**
 * How long a node waits until one of its exchange partners has the records that
 * it lacks, before it asks any other node.
 */
const PARTNER_TIMEOUT = milliseconds(400);

/**
 * The time without any part of an answer after which a peer counts as silent.
 * It begins to answer within a few milliseconds, or within about 200 on a link
 * that loses a packet.
 */
const SILENCE_LIMIT = milliseconds(300);
/** The limit doubles up to this many times. */
const MAXIMUM_DOUBLINGS = 2;

/** A peer that has read more of the operators' records than this node. */
export interface PeerAhead {
  readonly id: NodeId;
  /** Whether this node exchanges digests with it. */
  readonly isPartner: boolean;
}

/** How a node's attempts to catch up have gone. */
export interface CatchUpState {
  /** How long peers have been ahead of this node. */
  readonly behindFor: Duration;
  /** The peer whose answer failed last. */
  readonly failedPeer: NodeId | undefined;
}

/**
 * Selects the peers to fetch records from. Records then spread between exchange
 * partners, rather than from the first few nodes to all others.
 * @param peersAhead The peers that are ahead of this node.
 * @param state How the attempts so far have gone.
 * @returns The peers, any of which may be asked; none to wait for a partner.
 */
export function knowledgeSources<T extends PeerAhead>(
  peersAhead: readonly T[],
  { behindFor, failedPeer }: CatchUpState,
): readonly T[] {
  const others = peersAhead.filter(({ id }) => id !== failedPeer);
  const candidates = others.length > 0 ? others : peersAhead;
  const partners = candidates.filter(({ isPartner }) => isPartner);
  if (partners.length > 0) return partners;
  return behindFor >= PARTNER_TIMEOUT ? candidates : [];
}

/**
 * Returns how long to wait for each part of a peer's answer. Peers that are
 * busy, as their many askers are, take longer to accept a connection.
 * @param failures The number of consecutive failed fetches.
 * @returns The time without progress after which the fetch is given up.
 */
export function peerSilenceLimit(failures: number): Duration {
  return milliseconds(
    SILENCE_LIMIT * 2 ** Math.min(failures, MAXIMUM_DOUBLINGS),
  );
}
