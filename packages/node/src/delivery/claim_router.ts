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

/** The dependencies of {@link ClaimRouter}. */
export interface ClaimRouterParts {
  readonly self: NodeId;
  readonly failureDomain: string;
  readonly nodes: () => readonly Vm[];
  readonly gatherer: ClaimGatherer;
  readonly peers: OutcomePeerClient;
}

/**
 * Sends claims to the node that gathers those of the failure domain. If nodes
 * disagree about which node that is, the only cost is an extra append.
 */
export class ClaimRouter {
  readonly #parts: ClaimRouterParts;

  /** @param parts The dependencies. */
  constructor(parts: ClaimRouterParts) {
    this.#parts = parts;
  }

  /**
   * Claims a key.
   * @param claim The claim.
   * @returns The winning claim, or why the claim was not settled.
   */
  async claim(claim: KeyClaim): Promise<ClaimVerdict> {
    const { self, gatherer, peers } = this.#parts;
    const node = this.#gatheringNode();
    if (node === undefined || node === self) return gatherer.claim(claim);
    const verdict = await peers.claim(node, claim);
    // The VM list may still contain a node that is gone. The claim keeps its
    // nonce, so it counts as one claim even if that node appended it too.
    return isUnanswered(verdict, node) ? gatherer.claim(claim) : verdict;
  }

  #gatheringNode(): NodeId | undefined {
    const { failureDomain, nodes } = this.#parts;
    const candidates = nodes().filter((vm) =>
      vm.failureDomain === failureDomain && vm.state === "live"
    );
    return rendezvousChoice(
      failureDomain,
      candidates.map((vm) => nodeId(vm.id)),
    );
  }
}

function isUnanswered(verdict: ClaimVerdict, node: NodeId): boolean {
  return verdict.kind === "refused" && verdict.failure.peer === node;
}
