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

/** The maximum age of a digest whose engine states are still used. */
const ENGINE_STATE_TIMEOUT: Duration = milliseconds(1_200);
/** How long a node's notice that it stops is kept. */
const STOP_RETENTION: Duration = milliseconds(20_000);
/** Nodes not heard of for this long are no longer contacted. */
const PEER_RETENTION: Duration = milliseconds(60_000);

/** How a digest reached this node. */
export interface DigestOrigin {
  /** How long ago its node created it. */
  readonly age: Duration;
  /** Whether another node relayed it. */
  readonly isRelayed: boolean;
}

const DIRECT: DigestOrigin = { age: milliseconds(0), isRelayed: false };

/** An engine as its owner last described it. */
export interface PeerEngine {
  readonly owner: NodeId;
  readonly address: string;
  readonly digest: EngineDigest;
  /** The services of which the owner reaches no server. */
  readonly unreachedServices: readonly string[];
}

/** The other nodes, as described by the log and by exchanged digests. */
export class PeerTable {
  readonly #peers = new Map<NodeId, KnownPeer>();
  /** The nodes in the order in which this node first heard of them. */
  readonly #order: NodeId[] = [];
  #changeCount = 0;

  /** The number of changes of any node, other than of its last contact. */
  get cursor(): number {
    return this.#changeCount;
  }

  /**
   * Records a node that the log names.
   * @param now The present time.
   * @param record The node's record.
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
   * Applies a node's digest, unless a newer one is known.
   * @param now The present time.
   * @param digest The digest.
   * @param origin How it came; directly from the node by default.
   * @returns Whether the node has joined, begun to stop or restarted.
   */
  applyDigest(now: Instant, digest: NodeDigest, origin = DIRECT): boolean {
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
   * Records that a partner has heard a node whose digest it relayed earlier.
   * @param now The present time.
   * @param id The node.
   * @param incarnation The run that was heard.
   * @param age How long ago it was heard.
   * @returns Whether the node counted as gone and is present again.
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
   * Lists the nodes that may be present.
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
   * Lists the nodes that are present, and those that the log has just named and
   * that have not had time to send a digest.
   * @param now The present time.
   * @returns The nodes.
   */
  presentNodes(now: Instant): readonly NodeRecord[] {
    return this.#presentPeers(now).map((peer) => peer.record);
  }

  /**
   * Lists the nodes that may serve: those that are present and not leaving.
   * @param now The present time.
   * @returns The nodes with their capacity and load.
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
   * Lists the changes that another node has not received yet.
   * @param now The present time.
   * @param filter What the other node requests.
   * @returns News of each changed node.
   */
  newsFor(now: Instant, filter: NewsFilter): readonly NodeNews[] {
    return [...this.#peers.values()]
      .flatMap((peer) => createNews(now, peer, filter, PEER_RETENTION) ?? []);
  }

  /**
   * Lists how long ago each node was heard.
   * @param now The present time.
   * @returns The encoded ages by node index.
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
   * Lists the nodes that were heard recently.
   * @param now The present time.
   * @returns The digest of each node.
   */
  alive(now: Instant): readonly NodeDigest[] {
    return [...this.#peers.values()].flatMap((peer) =>
      peer.digest !== undefined && isFresh(peer, now, silenceTimeoutOf(peer))
        ? [peer.digest]
        : []
    );
  }

  /**
   * Lists the nodes whose last digest says that they stop.
   * @param now The present time.
   * @returns The nodes.
   */
  stoppedNodes(now: Instant): ReadonlySet<NodeId> {
    const stopped = [...this.#peers.values()].filter((peer) =>
      peer.digest?.isLeaving === true && isFresh(peer, now, STOP_RETENTION)
    );
    return new Set(stopped.map((peer) => peer.record.id));
  }

  /**
   * The addresses of all known nodes.
   * @returns The addresses.
   */
  get addresses(): ReadonlySet<string> {
    return new Set(
      [...this.#peers.values()].map((peer) => peer.record.address),
    );
  }

  /**
   * Returns the sequence number of the known engine states of a node.
   * @param id The node.
   * @param incarnation Its run.
   * @returns The sequence number, 0 if none are known.
   */
  knownEngineSequence(id: NodeId, incarnation: string): number {
    const digest = this.#peers.get(id)?.digest;
    if (digest?.incarnation !== incarnation) return 0;
    return digest.engineStates?.sequence ?? 0;
  }

  /**
   * Finds an engine's digest from its owner.
   * @param now The present time.
   * @param engine The engine.
   * @param owner Its owner.
   * @returns The engine, or undefined if unknown or too old.
   */
  findEngine(
    now: Instant,
    engine: BackendServerId,
    owner: NodeId,
  ): PeerEngine | undefined {
    const peer = this.#peers.get(owner);
    if (peer?.digest === undefined) return undefined;
    if (!isFresh(peer, now, ENGINE_STATE_TIMEOUT)) return undefined;
    const digest = peer.digest.engineStates?.engines
      .find((state) => state.engine === engine);
    if (digest === undefined) return undefined;
    const { unreachedServices } = peer.digest;
    return { owner, address: peer.record.address, digest, unreachedServices };
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
