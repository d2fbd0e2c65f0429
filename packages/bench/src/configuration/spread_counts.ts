import {
  distributionPosition,
  failureDomainId,
  nodeId,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import Table from "cli-table3";

const SIZES = [{ nodes: 9, domains: 3 }, { nodes: 1_500, domains: 17 }];
const GOSSIP_FANOUT = 4;
const DEAD_IN_A_HUNDRED = 5;
const ROUNDS = 64;

/** What it takes to pass one record on to all nodes. */
export interface SpreadCount {
  readonly messages: number;
  /** The most messages that one node sends. */
  readonly busiest: number;
  /** Hops until the last node that is reached has it. */
  readonly hops: number;
  /** Live nodes that are reached, where some nodes are dead and not noticed. */
  readonly reachedInAHundred: number;
}

/**
 * Counts a tree inside each failure domain; a chain is a tree of fanout 1.
 * @param size How many nodes and failure domains.
 * @param fanout How many peers each node serves.
 * @returns The counts.
 */
export function countTree(
  size: { readonly nodes: number; readonly domains: number },
  fanout: number,
): SpreadCount {
  const nodes = Array.from({ length: size.nodes }, (_, index) => ({
    id: nodeId(`node-${index}`),
    failureDomain: failureDomainId(`domain-${index % size.domains}`),
  }));
  const places = new Map(
    nodes.map((node) => [node.id, distributionPosition(node, nodes, fanout)]),
  );
  const children = new Map<string, number>();
  for (const { parent } of places.values()) {
    if (parent === undefined) continue;
    children.set(parent, (children.get(parent) ?? 0) + 1);
  }
  const random = new SeededRandom(1);
  const dead = new Set(
    nodes.filter(() => random.happens(DEAD_IN_A_HUNDRED / 100))
      .map((node) => node.id),
  );
  const live = nodes.filter(({ id }) => !dead.has(id));
  const reached = live.filter(({ id }) => {
    let at = places.get(id)?.parent;
    while (at !== undefined) {
      if (dead.has(at)) return false;
      at = places.get(at)?.parent;
    }
    return true;
  });
  return {
    messages: size.nodes,
    busiest: Math.max(...children.values()),
    hops: Math.max(...Array.from(places.values(), ({ depth }) => depth)) + 1,
    reachedInAHundred: 100 * reached.length / live.length,
  };
}

/**
 * Counts gossip over all nodes: each node passes a new record on to some
 * random others, once.
 * @param size How many nodes and failure domains.
 * @param fanout To how many.
 * @returns The counts.
 */
export function countGossip(
  size: { readonly nodes: number; readonly domains: number },
  fanout: number,
): SpreadCount {
  const random = new SeededRandom(1);
  const dead = new Set<number>();
  for (let node = size.domains; node < size.nodes; node += 1) {
    if (random.happens(DEAD_IN_A_HUNDRED / 100)) dead.add(node);
  }
  const holders = new Set(
    Array.from({ length: size.domains }, (_, index) => index),
  );
  let fresh = [...holders];
  let messages = size.domains;
  let hops = 1;
  for (let round = 0; round < ROUNDS && fresh.length > 0; round += 1) {
    const next: number[] = [];
    for (let sent = 0; sent < fresh.length * fanout; sent += 1) {
      const target = Math.floor(random.next() * size.nodes);
      messages += 1;
      if (dead.has(target) || holders.has(target)) continue;
      holders.add(target);
      next.push(target);
    }
    if (next.length > 0) hops += 1;
    fresh = next;
  }
  const live = size.nodes - dead.size;
  return {
    messages,
    busiest: fanout,
    hops,
    reachedInAHundred: 100 * holders.size / live,
  };
}

/**
 * Counts all ways at the sizes of today and of the target.
 * @returns A table.
 */
export function formatSpreadCounts(): string {
  const table = new Table({
    head: ["nodes", "way", "messages", "busiest sends", "hops", "reached %"],
    style: { head: [], border: [] },
  });
  for (const size of SIZES) {
    const ways: readonly [string, SpreadCount][] = [
      ["chain", countTree(size, 1)],
      ["tree of 4", countTree(size, 4)],
      [`gossip to ${GOSSIP_FANOUT}`, countGossip(size, GOSSIP_FANOUT)],
      ["each reads the log", {
        messages: size.nodes,
        busiest: 0,
        hops: 1,
        reachedInAHundred: 100,
      }],
    ];
    for (const [way, count] of ways) {
      table.push([
        size.nodes,
        way,
        count.messages,
        count.busiest,
        count.hops,
        count.reachedInAHundred.toFixed(1),
      ]);
    }
  }
  return table.toString();
}
