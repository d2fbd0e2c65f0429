import {
  type ClaimVerdict,
  type KeyClaim,
  type NodeId,
  nodeId,
  rendezvousChoice,
} from "@foxtailwind/core";
import type { Vm } from "@foxtailwind/edges";
import type { ClaimGatherer } from "./claim_gatherer.ts";
import type { OutcomePeerClient } from "./outcome_peer_client.ts";

/** What brings claims to the node that gathers them. */
export interface ClaimRouterParts {
  readonly self: NodeId;
  readonly failureDomain: string;
  readonly nodes: () => readonly Vm[];
  readonly gatherer: ClaimGatherer;
  readonly peers: OutcomePeerClient;
}

/**
 * Brings a claim to the node that gathers those of its failure domain. Nodes
 * that differ about which one that is cost an append more and nothing else.
 */
export class ClaimRouter {
  readonly #parts: ClaimRouterParts;

  /** @param parts What the route works with. */
  constructor(parts: ClaimRouterParts) {
    this.#parts = parts;
  }

  /**
   * Claims a key.
   * @param claim The claim.
   * @returns The key's winner, or why the claim was not settled.
   */
  async claim(claim: KeyClaim): Promise<ClaimVerdict> {
    const { self, gatherer, peers } = this.#parts;
    const node = this.#gatheringNode();
    if (node === undefined || node === self) return gatherer.claim(claim);
    const verdict = await peers.claim(node, claim);
    // The list may still name a node that is gone. The claim keeps its nonce,
    // so that it wins or loses as one, even if that node appended it too.
    return isUnanswered(verdict, node) ? gatherer.claim(claim) : verdict;
  }

  #gatheringNode(): NodeId | undefined {
    const { failureDomain, nodes } = this.#parts;
    const near = nodes().filter((vm) =>
      vm.failureDomain === failureDomain && vm.state === "live"
    );
    return rendezvousChoice(failureDomain, near.map((vm) => nodeId(vm.id)));
  }
}

function isUnanswered(verdict: ClaimVerdict, node: NodeId): boolean {
  return verdict.kind === "refused" && verdict.failure.peer === node;
}
