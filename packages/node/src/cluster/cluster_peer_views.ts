import type { NodeId } from "@foxtailwind/core";
import { PeerViews } from "../routing/mod.ts";
import type { ClusterView } from "./cluster_view.ts";

/** Leaves out nodes that are suspected or have said that they leave. */
export class ClusterPeerViews extends PeerViews {
  readonly #cluster: ClusterView;
  readonly #ownViews: PeerViews;

  /**
   * @param cluster Who lives.
   * @param own What this node knows of itself.
   */
  constructor(cluster: ClusterView, own: PeerViews) {
    super();
    this.#cluster = cluster;
    this.#ownViews = own;
  }

  override isLeaving(node: NodeId): boolean {
    if (this.#ownViews.isLeaving(node)) return true;
    const { live } = this.#cluster;
    const isViewKnown = live.length > 0;
    return isViewKnown && !live.some((member) => member.node === node);
  }

  override loadOf(node: NodeId): number | undefined {
    return this.#ownViews.loadOf(node);
  }
}
