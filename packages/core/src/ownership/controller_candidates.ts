import xxhash from "xxhash-wasm";
import type { Member } from "../membership/mod.ts";
import type { EngineId, FailureDomainId, NodeId } from "../shared/mod.ts";

/** Maximum number of nodes designated to take over an engine. */
export const MAXIMUM_SUCCESSORS = 2;

const HASH_RANGE = 2 ** 32;
const hasher = await xxhash();

/** An engine that needs a controller. */
export interface ControlledEngine {
  readonly engine: EngineId;
  readonly failureDomain: FailureDomainId;
  /** Whether the engine rejects orders with an outdated fencing number. */
  readonly checksFencing: boolean;
}

/**
 * Ranks the nodes for an engine by weighted rendezvous hashing: a node scores
 * `weight / -ln(hash)`, with the hash scaled to between 0 and 1, so that its
 * share of the engines is in proportion to its weight. Nodes of the engine's
 * own failure domain come first.
 * @param engine The engine.
 * @param members The nodes.
 * @returns The nodes, best first.
 */
export function rankCandidates(
  engine: ControlledEngine,
  members: readonly Member[],
): readonly Member[] {
  const scored = members.map((member) => ({
    member,
    sharesFailureDomain: member.failureDomain === engine.failureDomain,
    score: weightedScore(engine.engine, member),
  }));
  scored.sort((left, right) =>
    Number(right.sharesFailureDomain) - Number(left.sharesFailureDomain) ||
    right.score - left.score ||
    (left.member.node < right.member.node ? -1 : 1)
  );
  return scored.map((entry) => entry.member);
}

/**
 * Chooses the nodes that may take over from a controller: the best other
 * candidate, then the best candidate in a failure domain other than those of
 * both, so that the loss of one domain leaves a successor. Without such a
 * domain, the second best other candidate is chosen.
 * @param candidates The nodes, best first.
 * @param controller The controller.
 * @returns The successors, in the order in which they take over.
 */
export function chooseSuccessors(
  candidates: readonly Member[],
  controller: NodeId,
): readonly NodeId[] {
  const others = candidates.filter((one) => one.node !== controller);
  const first = others[0];
  if (first === undefined) return [];
  const usedFailureDomains = new Set([first.failureDomain]);
  const controllerMember = candidates.find((one) => one.node === controller);
  if (controllerMember !== undefined) {
    usedFailureDomains.add(controllerMember.failureDomain);
  }
  const second =
    others.find((one) => !usedFailureDomains.has(one.failureDomain)) ??
      others[1];
  const chosen = second === undefined ? [first] : [first, second];
  return chosen.slice(0, MAXIMUM_SUCCESSORS).map((one) => one.node);
}

function weightedScore(engine: EngineId, member: Member): number {
  const hash = hasher.h32(`${member.node}/${engine}`);
  const uniform = (hash + 0.5) / HASH_RANGE;
  return member.weight / -Math.log(uniform);
}
