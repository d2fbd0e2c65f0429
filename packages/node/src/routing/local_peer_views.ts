import type { NodeId } from "@foxtailwind/core";
import { PeerViews } from "./address_directory.ts";

/** What a node knows of itself, for its own answers. */
export interface OwnState {
  readonly self: NodeId;
  readonly isLeaving: () => boolean;
  readonly load: () => number;
}

/** Knows this node alone; of its peers only what the VM list tells. */
export class OwnView extends PeerViews {
  readonly #own: OwnState;

  /** @param own What the node knows of itself. */
  constructor(own: OwnState) {
    super();
    this.#own = own;
  }

  override isLeaving(node: NodeId): boolean {
    return node === this.#own.self && this.#own.isLeaving();
  }

  override loadOf(node: NodeId): number | undefined {
    return node === this.#own.self ? this.#own.load() : undefined;
  }
}
