import { HolderRing, type NodeId } from "@foxtailwind/core";
import type { EmulatedNode } from "./emulated_cluster.ts";

/** A way of keeping what began streams, and of finding it. */
export abstract class OriginWay {
  abstract readonly name: string;

  /**
   * Lists the peers that are told what began a stream.
   * @param stream The stream.
   * @param nodes The nodes that are present, the one that tells them included.
   * @returns The peers.
   */
  abstract holders(
    stream: string,
    nodes: readonly EmulatedNode[],
  ): readonly NodeId[];

  /**
   * Lists the peers that are asked what began a stream.
   * @param stream The stream.
   * @param known The nodes that were there lately.
   * @param present The nodes that are still there.
   * @returns The peers.
   */
  abstract asked(
    stream: string,
    known: readonly EmulatedNode[],
    present: readonly EmulatedNode[],
  ): readonly NodeId[];
}

/** All nodes are told. */
export class TellsAll extends OriginWay {
  override readonly name = "all are told";

  override holders(
    _stream: string,
    nodes: readonly EmulatedNode[],
  ): readonly NodeId[] {
    return nodes.map(({ id }) => id);
  }

  override asked(): readonly NodeId[] {
    return [];
  }
}

/** Only the node that forwards the first event knows, and all are asked. */
export class AsksAll extends OriginWay {
  override readonly name = "all are asked";

  override holders(): readonly NodeId[] {
    return [];
  }

  override asked(
    _stream: string,
    known: readonly EmulatedNode[],
  ): readonly NodeId[] {
    return known.map(({ id }) => id);
  }
}

/** Some peers are told, and a few more than these are asked. */
export class TellsHolders extends OriginWay {
  override readonly name: string;
  readonly #count: number;
  readonly #rings = new Map<readonly EmulatedNode[], HolderRing>();

  /** @param count How many peers are told. */
  constructor(count: number) {
    super();
    this.#count = count;
    this.name = `${count} are told`;
  }

  override holders(
    stream: string,
    nodes: readonly EmulatedNode[],
  ): readonly NodeId[] {
    return this.#ringOf(nodes).holders(stream, this.#count);
  }

  override asked(
    stream: string,
    known: readonly EmulatedNode[],
    present: readonly EmulatedNode[],
  ): readonly NodeId[] {
    const count = this.#count + 2;
    return [
      ...new Set([
        ...this.#ringOf(known).holders(stream, count),
        ...this.#ringOf(present).holders(stream, count),
      ]),
    ];
  }

  #ringOf(nodes: readonly EmulatedNode[]): HolderRing {
    const ring = this.#rings.get(nodes) ?? new HolderRing(nodes);
    this.#rings.set(nodes, ring);
    return ring;
  }
}
