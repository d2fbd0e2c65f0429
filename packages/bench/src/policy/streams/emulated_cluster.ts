import {
  failureDomainId,
  type HolderCandidate,
  type NodeId,
  nodeId,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import type { OriginWay } from "./origin_ways.ts";

/** A node of an emulated cluster. */
export type EmulatedNode = HolderCandidate;

/** What befalls the nodes after streams have begun. */
export interface NodeLoss {
  readonly name: string;
  /** The share of nodes that are killed, or cut off from the others. */
  readonly share: number;
  /** Whether they are all of the same failure domain, as far as possible. */
  readonly byDomain: boolean;
}

/** What one way cost and achieved. */
export interface OriginResult {
  /** Messages to peers for each stream that begins. */
  readonly told: number;
  /** Messages to peers for each stream that is resumed. */
  readonly asked: number;
  /** The share of resumed streams whose origin is known. */
  readonly known: number;
}

const FAILURE_DOMAINS = 3;
const STREAMS = 2_000;

/**
 * Emulates streams that begin, the loss of nodes, and callers of lost nodes that
 * resume their streams at the others.
 * @param way How origins are kept and found.
 * @param loss The nodes that are lost.
 * @param options The number of nodes, and the seed.
 * @returns What it cost and achieved.
 */
export function emulateOrigins(
  way: OriginWay,
  loss: NodeLoss,
  options: { readonly nodes: number; readonly seed: number },
): OriginResult {
  const random = new SeededRandom(options.seed);
  const nodes = Array.from({ length: options.nodes }, (_, index) => ({
    id: nodeId(`node-${index}`),
    failureDomain: failureDomainId(`domain-${index % FAILURE_DOMAINS}`),
  }));
  const lost = drawLost(nodes, loss, random);
  const present = nodes.filter(({ id }) => !lost.has(id));
  const lostNodes = nodes.filter(({ id }) => lost.has(id));
  let told = 0;
  let asked = 0;
  let known = 0;
  for (let index = 0; index < STREAMS; index += 1) {
    const stream = `${options.seed}-${index}`;
    const origin = pick(lostNodes, random).id;
    const asker = pick(present, random).id;
    const holders = way.holders(stream, nodes).filter((id) => id !== origin);
    const peers = way.asked(stream, nodes, present)
      .filter((id) => id !== asker);
    const holding = new Set([origin, ...holders]);
    told += holders.length;
    asked += holding.has(asker) ? 0 : peers.length;
    const isKnown = [asker, ...peers].some((id) =>
      holding.has(id) && !lost.has(id)
    );
    if (isKnown) known += 1;
  }
  return {
    told: told / STREAMS,
    asked: asked / STREAMS,
    known: known / STREAMS,
  };
}

function drawLost(
  nodes: readonly EmulatedNode[],
  { share, byDomain }: NodeLoss,
  random: SeededRandom,
): ReadonlySet<NodeId> {
  const order = nodes
    .map((node) => ({ node, draw: random.next() }))
    .toSorted((left, right) => left.draw - right.draw)
    .map(({ node }) => node);
  const sorted = byDomain
    ? order.toSorted((left, right) =>
      left.failureDomain < right.failureDomain ? -1 : 1
    )
    : order;
  const count = Math.min(Math.round(nodes.length * share), nodes.length - 1);
  return new Set(sorted.slice(0, count).map(({ id }) => id));
}

function pick<Item>(items: readonly Item[], random: SeededRandom): Item {
  const item = items[Math.floor(random.next() * items.length)];
  if (item === undefined) throw new RangeError("There is nothing to pick.");
  return item;
}
