import { type Duration, elapsed, type Instant } from "@foxtailwind/core";
import type { NodeNews } from "@foxtailwind/protocol";
import type { KnownPeer } from "./known_peer.ts";

/** Of what another node wants to hear. */
export interface NewsFilter {
  /** The count of changes up to which it has heard. */
  readonly cursor: number;
  readonly wantsEngines: boolean;
}

/**
 * Writes what is known of a node for another one, where that lacks something.
 * @param now The present time.
 * @param peer The node.
 * @param terms Of what the other one wants to hear.
 * @param retention A node that was heard longer ago is not told of.
 * @returns The news, or nothing.
 */
export function createNews(
  now: Instant,
  peer: KnownPeer,
  { cursor, wantsEngines }: NewsFilter,
  retention: Duration,
): NodeNews | undefined {
  const { digest, heardAt, index } = peer;
  if (digest === undefined || heardAt === undefined) return undefined;
  if (elapsed(heardAt, now) >= retention) return undefined;
  const hasEngines = wantsEngines && peer.enginesChangedAt > cursor;
  if (!hasEngines && peer.changedAt <= cursor) return undefined;
  const engineStates = hasEngines ? digest.engineStates : undefined;
  return { index, digest: { ...digest, engineStates } };
}
