import { type Duration, elapsed, type Instant } from "@foxtailwind/core";
import type { NodeNews } from "@foxtailwind/protocol";
import type { Peer } from "./known_peer.ts";

/** Of what another node wants to hear. */
export interface NewsTerms {
  /** The count of changes up to which it has heard. */
  readonly cursor: number;
  readonly wantsEngines: boolean;
}

/**
 * Writes what is known of a node for another one, where that lacks something.
 * @param now The present time.
 * @param peer The node.
 * @param terms Of what the other one wants to hear.
 * @param forgotten A node that was heard longer ago is not told of.
 * @returns The news, or nothing.
 */
export function newsOf(
  now: Instant,
  peer: Peer,
  { cursor, wantsEngines }: NewsTerms,
  forgotten: Duration,
): NodeNews | undefined {
  const { digest, heardAt, index } = peer;
  if (digest === undefined || heardAt === undefined) return undefined;
  if (elapsed(heardAt, now) >= forgotten) return undefined;
  const hasEngines = wantsEngines && peer.enginesChangedAt > cursor;
  if (!hasEngines && peer.changedAt <= cursor) return undefined;
  const engineStates = hasEngines ? digest.engineStates : undefined;
  return { index, digest: { ...digest, engineStates } };
}
