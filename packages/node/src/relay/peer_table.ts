import {
  type BackendServerId,
  type Duration,
  elapsed,
  failureDomainId,
  type Instant,
  instant,
  milliseconds,
  type NodeId,
  nodeId,
  type ServingCandidate,
} from "@foxtailwind/core";
import type { EngineDigest, NodeDigest, NodeNews } from "@foxtailwind/protocol";
import { decodeCapacity, decodeLoad } from "./node_load.ts";
import {
  isFresh,
  type KnownPeer,
  mergeDigest,
  SILENCE_TIMEOUT,
  silenceTimeoutOf,
} from "./known_peer.ts";
import { createNews, type NewsFilter } from "./peer_news.ts";
import type { NodeRecord } from "./shared_log.ts";
import { encodeAge, UNKNOWN_AGE } from "./encoded_age.ts";

/** A digest that is older says nothing of an engine any more. */
const ENGINE_STATE_TIMEOUT: Duration = milliseconds(1_200);
/** How long a node's word that it stops is remembered. */
const STOP_RETENTION: Duration = milliseconds(20_000);
/** A node that has not been heard of for so long is asked no more. */
const PEER_RETENTION: Duration = milliseconds(60_000);

/** How a digest came. */
export interface DigestOrigin {
  /** How long ago its node gave it. */
  readonly age: Duration;
  /** Whether another node passed it on. */
  readonly isRelayed: boolean;
}

const DIRECT: DigestOrigin = { age: milliseconds(0), isRelayed: false };

/** What a node owns and how it fares, with the time at which it was heard. */
export interface PeerEngine {
  readonly owner: NodeId;
  readonly address: string;
  readonly digest: EngineDigest;
}

/** The other nodes, as far as this one has heard of them. */
export class PeerTable {
  readonly #peers = new Map<NodeId, KnownPeer>();
  /** The nodes by the order in which they were heard of first. */
  readonly #order: NodeId[] = [];
  #changeCount = 0;

  /** Counts what has changed of any node, but for the time of hearing it. */
  get cursor(): number {
    return this.#changeCount;
  }

  /**
   * Takes note of a node that the log names.
   * @param now The present time.
   * @param record The node.
   */
  recordNode(now: Instant, record: NodeRecord): void {
    const known = this.#peers.get(record.id);
    if (known?.record.incarnation === record.incarnation) return;
    this.#peers.set(record.id, {
      record,
      knownSince: now,
      isRelayed: false,
      index: this.#indexOf(record.id),
      changedAt: 0,
      enginesChangedAt: 0,
    });
  }

  /**
   * Takes what a node says of itself, unless something newer is known.
   * @param now The present time.
   * @param digest What it says.
   * @param origin How it came; from the node itself by default.
   * @returns Whether the node has come, has begun to stop or has started again.
   */
  heard(now: Instant, digest: NodeDigest, origin = DIRECT): boolean {
    const id = nodeId(digest.node);
    const known = this.#peers.get(id);
    const heardAt = instant(now - origin.age);
    const merged = mergeDigest(known, digest, heardAt);
    if (merged === undefined) return false;
    const isStatusChange = known?.digest === undefined ||
      !isFresh(known, now, SILENCE_TIMEOUT) ||
      known.digest.incarnation !== digest.incarnation ||
      known.digest.isLeaving !== digest.isLeaving;
    const isHeardLater = known?.heardAt === undefined ||
      heardAt > known.heardAt ||
      known.digest?.incarnation !== digest.incarnation;
    if (merged.hasNewState || merged.hasNewEngineStates) this.#changeCount += 1;
    this.#peers.set(id, {
      record: toNodeRecord(merged.digest),
      digest: merged.digest,
      heardAt: isHeardLater ? heardAt : known.heardAt,
      isRelayed: isHeardLater ? origin.isRelayed : known.isRelayed,
      knownSince: known?.knownSince ?? now,
      index: known?.index ?? this.#indexOf(id),
      changedAt: merged.hasNewState ? this.#changeCount : known?.changedAt ?? 0,
      enginesChangedAt: merged.hasNewEngineStates
        ? this.#changeCount
        : known?.enginesChangedAt ?? 0,
    });
    return isStatusChange;
  }

  /**
   * Takes note that another node has heard a node, of which it told before.
   * @param now The present time.
   * @param id The node.
   * @param incarnation The run that was heard.
   * @param age How long ago it was heard.
   * @returns Whether the node counted as gone before.
   */
  recordRelayedContact(
    now: Instant,
    id: NodeId,
    incarnation: string,
    age: Duration,
  ): boolean {
    const known = this.#peers.get(id);
    if (known?.digest?.incarnation !== incarnation) return false;
    const heardAt = instant(now - age);
    if (known.heardAt !== undefined && heardAt <= known.heardAt) return false;
    const wasGone = !isFresh(known, now, SILENCE_TIMEOUT);
    this.#peers.set(id, { ...known, heardAt, isRelayed: true });
    return wasGone && isFresh({ ...known, heardAt }, now, SILENCE_TIMEOUT);
  }

  /**
   * Lists the nodes that may be there.
   * @param now The present time.
   * @returns The nodes heard of in the last minute.
   */
  contacts(now: Instant): readonly NodeRecord[] {
    return [...this.#peers.values()]
      .filter((peer) =>
        elapsed(peer.heardAt ?? peer.knownSince, now) < PEER_RETENTION
      )
      .map((peer) => peer.record);
  }

  /**
   * Lists the nodes that can be asked of others: those that are there, and
   * those that have not had the time to tell of themselves.
   * @param now The present time.
   * @returns The nodes.
   */
  presentNodes(now: Instant): readonly NodeRecord[] {
    return this.#presentPeers(now).map((peer) => peer.record);
  }

  /**
   * Lists the nodes that may serve: those that are there and don't leave.
   * @param now The present time.
   * @returns The nodes, with what they can do.
   */
  servingCandidates(now: Instant): readonly ServingCandidate[] {
    return this.#presentPeers(now)
      .filter(({ digest }) => digest?.isLeaving !== true)
      .map(({ record, digest }) => ({
        id: record.id,
        failureDomain: record.failureDomain,
        capacity: decodeCapacity(digest?.capacity ?? record.capacity),
        load: decodeLoad(digest?.load ?? 0),
      }));
  }

  /**
   * Lists what another node has not heard yet.
   * @param now The present time.
   * @param filter Of what it wants to hear.
   * @returns The nodes of which something has changed.
   */
  newsFor(now: Instant, filter: NewsFilter): readonly NodeNews[] {
    return [...this.#peers.values()]
      .flatMap((peer) => createNews(now, peer, filter, PEER_RETENTION) ?? []);
  }

  /**
   * Tells how long ago each node was heard.
   * @param now The present time.
   * @returns The ages by index, as they are told.
   */
  ages(now: Instant): number[] {
    return this.#order.map((id) => {
      const heardAt = this.#peers.get(id)?.heardAt;
      if (heardAt === undefined) return UNKNOWN_AGE;
      const age = elapsed(heardAt, now);
      return age >= PEER_RETENTION ? UNKNOWN_AGE : encodeAge(age);
    });
  }

  /**
   * Lists the nodes that are there.
   * @param now The present time.
   * @returns What each says of itself.
   */
  alive(now: Instant): readonly NodeDigest[] {
    return [...this.#peers.values()].flatMap((peer) =>
      peer.digest !== undefined && isFresh(peer, now, silenceTimeoutOf(peer))
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
    const stopped = [...this.#peers.values()].filter((peer) =>
      peer.digest?.isLeaving === true && isFresh(peer, now, STOP_RETENTION)
    );
    return new Set(stopped.map((peer) => peer.record.id));
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
   * Tells up to which change a node's engines are known.
   * @param id The node.
   * @param incarnation Its run.
   * @returns The sequence of their states, 0 where none are known.
   */
  knownEngineSequence(id: NodeId, incarnation: string): number {
    const digest = this.#peers.get(id)?.digest;
    if (digest?.incarnation !== incarnation) return 0;
    return digest.engineStates?.sequence ?? 0;
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
  ): PeerEngine | undefined {
    const peer = this.#peers.get(owner);
    if (peer?.digest === undefined) return undefined;
    if (!isFresh(peer, now, ENGINE_STATE_TIMEOUT)) return undefined;
    const digest = peer.digest.engineStates?.engines
      .find((one) => one.engine === engine);
    if (digest === undefined) return undefined;
    return { owner, address: peer.record.address, digest };
  }

  #presentPeers(now: Instant): readonly KnownPeer[] {
    return [...this.#peers.values()].filter((peer) =>
      peer.digest === undefined
        ? elapsed(peer.knownSince, now) < SILENCE_TIMEOUT
        : isFresh(peer, now, silenceTimeoutOf(peer))
    );
  }

  #indexOf(id: NodeId): number {
    const known = this.#peers.get(id)?.index;
    if (known !== undefined) return known;
    this.#order.push(id);
    return this.#order.length - 1;
  }
}

function toNodeRecord(digest: NodeDigest): NodeRecord {
  return {
    id: nodeId(digest.node),
    incarnation: digest.incarnation,
    address: digest.address,
    failureDomain: failureDomainId(digest.failureDomain),
    capacity: digest.capacity,
  };
}
