import {
  type BackendServerId,
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  type NodeId,
  nodeId,
} from "@foxtailwind/core";
import type { EngineDigest, NodeDigest } from "@foxtailwind/protocol";
import type { NodeRecord } from "./shared_log.ts";

/** A node that is silent for longer counts as gone: six missed exchanges. */
const SILENCE: Duration = milliseconds(1_500);
/** A digest that is older says nothing of an engine any more. */
const STALE_DIGEST: Duration = milliseconds(1_200);
/** How long a node's word that it stops is remembered. */
const STOP_MEMORY: Duration = milliseconds(20_000);
/** A node that has not been heard of for so long is asked no more. */
const FORGOTTEN: Duration = milliseconds(60_000);

interface Peer {
  readonly record: NodeRecord;
  readonly digest?: NodeDigest;
  readonly heardAt?: Instant;
  readonly knownSince: Instant;
}

/** What a node owns and how it fares, with the time at which it was heard. */
export interface HeardEngine {
  readonly owner: NodeId;
  readonly address: string;
  readonly digest: EngineDigest;
}

/** The other nodes, as far as this one has heard of them. */
export class PeerBook {
  readonly #peers = new Map<NodeId, Peer>();

  /**
   * Takes note of a node that the log names.
   * @param now The present time.
   * @param record The node.
   */
  record(now: Instant, record: NodeRecord): void {
    const known = this.#peers.get(record.id);
    if (known?.record.incarnation === record.incarnation) return;
    this.#peers.set(record.id, { record, knownSince: now });
  }

  /**
   * Takes what a node says of itself.
   * @param now The present time.
   * @param digest What it says.
   */
  heard(now: Instant, digest: NodeDigest): void {
    const id = nodeId(digest.node);
    const record = {
      id,
      incarnation: digest.incarnation,
      address: digest.address,
    };
    const known = this.#peers.get(id);
    const knownSince = known?.knownSince ?? now;
    this.#peers.set(id, { record, digest, heardAt: now, knownSince });
  }

  /**
   * Lists the nodes to exchange digests with.
   * @param now The present time.
   * @returns The nodes heard of in the last minute.
   */
  contacts(now: Instant): readonly NodeRecord[] {
    return [...this.#peers.values()]
      .filter((peer) =>
        elapsed(peer.heardAt ?? peer.knownSince, now) < FORGOTTEN
      )
      .map((peer) => peer.record);
  }

  /**
   * Lists the nodes that are there.
   * @param now The present time.
   * @returns What each says of itself.
   */
  alive(now: Instant): readonly NodeDigest[] {
    return [...this.#peers.values()].flatMap((peer) =>
      peer.digest !== undefined && isFresh(peer, now, SILENCE)
        ? [peer.digest]
        : []
    );
  }

  /**
   * Lists the nodes that have said that they stop, and have said nothing else
   * since.
   * @param now The present time.
   * @returns The nodes.
   */
  left(now: Instant): ReadonlySet<NodeId> {
    const left = [...this.#peers.values()].filter((peer) =>
      peer.digest?.isLeaving === true && isFresh(peer, now, STOP_MEMORY)
    );
    return new Set(left.map((peer) => peer.record.id));
  }

  /**
   * Gives the addresses at which nodes are known.
   * @returns The addresses.
   */
  get addresses(): ReadonlySet<string> {
    return new Set(
      [...this.#peers.values()].map((peer) => peer.record.address),
    );
  }

  /**
   * Finds what the owner of an engine says of it.
   * @param now The present time.
   * @param engine The engine.
   * @param owner Its owner.
   * @returns What it says, or nothing where that is too old.
   */
  engine(
    now: Instant,
    engine: BackendServerId,
    owner: NodeId,
  ): HeardEngine | undefined {
    const peer = this.#peers.get(owner);
    if (peer?.digest === undefined) return undefined;
    if (!isFresh(peer, now, STALE_DIGEST)) return undefined;
    const digest = peer.digest.engines.find((one) => one.engine === engine);
    if (digest === undefined) return undefined;
    return { owner, address: peer.record.address, digest };
  }
}

function isFresh(peer: Peer, now: Instant, limit: Duration): boolean {
  return peer.heardAt !== undefined && elapsed(peer.heardAt, now) < limit;
}
