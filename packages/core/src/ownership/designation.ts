import xxhash from "xxhash-wasm";
import type { Member } from "../membership/mod.ts";
import type { EngineId, FailureDomainId, NodeId } from "../shared/mod.ts";

/** How many nodes may take over an engine. */
export const SUCCESSORS = 2;

const HASH_RANGE = 2 ** 32;
const hasher = await xxhash();

/** An engine that is to be controlled. */
export interface ControlledEngine {
  readonly engine: EngineId;
  readonly failureDomain: FailureDomainId;
  /** Whether the engine refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
}

/**
 * Orders the nodes for an engine by weighted rendezvous hashing: a node scores
 * `weight / -ln(hash)`, with the hash scaled to between 0 and 1, so that its
 * share of the engines is in proportion to its weight. Nodes of the engine's
 * own failure domain come first.
 * @param engine The engine.
 * @param members The nodes.
 * @returns The nodes, best first.
 */
export function candidatesFor(
  engine: ControlledEngine,
  members: readonly Member[],
): readonly Member[] {
  const scored = members.map((member) => ({
    member,
    isNear: member.failureDomain === engine.failureDomain,
    score: weightedScore(engine.engine, member),
  }));
  scored.sort((left, right) =>
    Number(right.isNear) - Number(left.isNear) || right.score - left.score ||
    (left.member.node < right.member.node ? -1 : 1)
  );
  return scored.map((entry) => entry.member);
}

/**
 * Chooses the nodes that may take over from a controller: the next candidate,
 * then the best one of a failure domain that neither of both is in, so that
 * the loss of a domain leaves a successor.
 * @param candidates The nodes, best first.
 * @param controller The controller.
 * @returns The successors, first one first.
 */
export function chooseSuccessors(
  candidates: readonly Member[],
  controller: NodeId,
): readonly NodeId[] {
  const others = candidates.filter((one) => one.node !== controller);
  const first = others[0];
  if (first === undefined) return [];
  const used = new Set([first.failureDomain]);
  const own = candidates.find((one) => one.node === controller);
  if (own !== undefined) used.add(own.failureDomain);
  const second = others.find((one) => !used.has(one.failureDomain)) ??
    others[1];
  const chosen = second === undefined ? [first] : [first, second];
  return chosen.slice(0, SUCCESSORS).map((one) => one.node);
}

function weightedScore(engine: EngineId, member: Member): number {
  const hash = hasher.h32(`${member.node}/${engine}`);
  const uniform = (hash + 0.5) / HASH_RANGE;
  return member.weight / -Math.log(uniform);
}
