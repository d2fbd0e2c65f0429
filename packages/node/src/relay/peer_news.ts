import { type Duration, elapsed, type Instant } from "@foxtailwind/core";
import type { NodeNews } from "@foxtailwind/protocol";
import type { KnownPeer } from "./known_peer.ts";

/** What another node requests, and what it already has. */
export interface NewsFilter {
  /** The change count up to which it has received news. */
  readonly cursor: number;
  readonly wantsEngines: boolean;
}

/**
 * Creates the news of a node for a partner that lacks its last changes.
 * @param now The present time.
 * @param peer The node.
 * @param filter What the partner requests.
 * @param retention Nodes last heard longer ago than this are omitted.
 * @returns The news, or undefined if there is none.
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
