import type { NodeId } from "@foxtailwind/core";
import { PeerViews } from "../routing/mod.ts";
import type { ClusterView } from "./cluster_view.ts";

/** Treats nodes that are suspected or have announced a stop as leaving. */
export class ClusterPeerViews extends PeerViews {
  readonly #cluster: ClusterView;
  readonly #ownViews: PeerViews;

  /**
   * @param cluster The membership view.
   * @param ownViews The view without membership, for loads and leaving nodes.
   */
  constructor(cluster: ClusterView, ownViews: PeerViews) {
    super();
    this.#cluster = cluster;
    this.#ownViews = ownViews;
  }

  override isLeaving(node: NodeId): boolean {
    if (this.#ownViews.isLeaving(node)) return true;
    const { liveMembers: live } = this.#cluster;
    const isViewKnown = live.length > 0;
    return isViewKnown && !live.some((member) => member.node === node);
  }

  override loadOf(node: NodeId): number | undefined {
    return this.#ownViews.loadOf(node);
  }
}
