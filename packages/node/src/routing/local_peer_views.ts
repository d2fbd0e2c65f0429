import type { NodeId } from "@foxtailwind/core";
import { PeerViews } from "./address_directory.ts";

/** The state of this node. */
export interface LocalNodeState {
  readonly self: NodeId;
  readonly isLeaving: () => boolean;
  readonly load: () => number;
}

/** Knows only this node; of other nodes, only the VM list is used. */
export class LocalPeerViews extends PeerViews {
  readonly #localNode: LocalNodeState;

  /** @param own The state of this node. */
  constructor(own: LocalNodeState) {
    super();
    this.#localNode = own;
  }

  override isLeaving(node: NodeId): boolean {
    return node === this.#localNode.self && this.#localNode.isLeaving();
  }

  override loadOf(node: NodeId): number | undefined {
    return node === this.#localNode.self ? this.#localNode.load() : undefined;
  }
}
