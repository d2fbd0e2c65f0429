import {
  type FailureDomainId,
  type NodeId,
  rendezvousOrder,
  rendezvousScore,
} from "../../shared/mod.ts";

/** A node that may hold state on behalf of others. */
export interface HolderCandidate {
  readonly id: NodeId;
  readonly failureDomain: FailureDomainId;
}

interface RingPoint {
  readonly position: number;
  readonly node: NodeId;
}

/** Places of each node on the ring, for an even distribution. */
const POINTS_PER_NODE = 4;

/**
 * Assigns keys to nodes by consistent hashing, alternating between failure
 * domains. An added or removed node moves only keys of its own.
 */
export class HolderRing {
  readonly #ringsByDomain = new Map<FailureDomainId, readonly RingPoint[]>();

  /** @param nodes The nodes. */
  constructor(nodes: readonly HolderCandidate[]) {
    const points = new Map<FailureDomainId, RingPoint[]>();
    for (const { id, failureDomain } of nodes) {
      const ring = points.get(failureDomain) ?? [];
      points.set(failureDomain, ring);
      for (let index = 0; index < POINTS_PER_NODE; index += 1) {
        ring.push({ position: rendezvousScore(String(index), id), node: id });
      }
    }
    for (const [domain, ring] of points) {
      ring.sort((left, right) => left.position - right.position);
      this.#ringsByDomain.set(domain, ring);
    }
  }

  /**
   * Lists the nodes that hold a key.
   * @param key The key.
   * @param count How many nodes hold it.
   * @returns The nodes, fewer than that if there are not as many.
   */
  holders(key: string, count: number): readonly NodeId[] {
    const domains = rendezvousOrder(key, [...this.#ringsByDomain.keys()]);
    const walks = domains.map((domain) =>
      walkRing(key, this.#ringsByDomain.get(domain) ?? [])
    );
    const holders: NodeId[] = [];
    while (holders.length < count) {
      const round = walks.flatMap((walk) => walk.next().value ?? []);
      if (round.length === 0) break;
      holders.push(...round);
    }
    return holders.slice(0, count);
  }
}

/** Yields each node of a ring once, beginning at the position of a key. */
function* walkRing(
  key: string,
  ring: readonly RingPoint[],
): Generator<NodeId, undefined> {
  const position = rendezvousScore(key, "");
  const first = findFirstFrom(ring, position);
  const seen = new Set<NodeId>();
  for (let step = 0; step < ring.length; step += 1) {
    const point = ring[(first + step) % ring.length];
    if (point === undefined || seen.has(point.node)) continue;
    seen.add(point.node);
    yield point.node;
  }
  return undefined;
}

/** Returns the index of the first point at a position or after it. */
function findFirstFrom(ring: readonly RingPoint[], position: number): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((ring[middle]?.position ?? 0) < position) low = middle + 1;
    else high = middle;
  }
  return low;
}
