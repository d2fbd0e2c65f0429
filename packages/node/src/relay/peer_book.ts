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
import { capacityOf, loadOf } from "./node_load.ts";
import {
  isFresh,
  mergeDigest,
  type Peer,
  SILENCE,
  silenceOf,
} from "./known_peer.ts";
import { newsOf, type NewsTerms } from "./peer_news.ts";
import type { NodeRecord } from "./shared_log.ts";
import { NO_AGE, toldAge } from "./told_age.ts";

/** A digest that is older says nothing of an engine any more. */
const STALE_DIGEST: Duration = milliseconds(1_200);
/** How long a node's word that it stops is remembered. */
const STOP_MEMORY: Duration = milliseconds(20_000);
/** A node that has not been heard of for so long is asked no more. */
const FORGOTTEN: Duration = milliseconds(60_000);

/** How a digest came. */
export interface HeardTerms {
  /** How long ago its node gave it. */
  readonly age: Duration;
  /** Whether another node passed it on. */
  readonly isRelayed: boolean;
}

const DIRECT: HeardTerms = { age: milliseconds(0), isRelayed: false };

/** What a node owns and how it fares, with the time at which it was heard. */
export interface HeardEngine {
  readonly owner: NodeId;
  readonly address: string;
  readonly digest: EngineDigest;
}

/** The other nodes, as far as this one has heard of them. */
export class PeerBook {
  readonly #peers = new Map<NodeId, Peer>();
  /** The nodes by the order in which they were heard of first. */
  readonly #order: NodeId[] = [];
  #changes = 0;

  /** Counts what has changed of any node, but for the time of hearing it. */
  get cursor(): number {
    return this.#changes;
  }

  /**
   * Takes note of a node that the log names.
   * @param now The present time.
   * @param record The node.
   */
  record(now: Instant, record: NodeRecord): void {
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
   * @param terms How it came; from the node itself by default.
   * @returns Whether the node has come, has begun to stop or has started again.
   */
  heard(now: Instant, digest: NodeDigest, terms = DIRECT): boolean {
    const id = nodeId(digest.node);
    const known = this.#peers.get(id);
    const heardAt = instant(now - terms.age);
    const merged = mergeDigest(known, digest, heardAt);
    if (merged === undefined) return false;
    const isNews = known?.digest === undefined ||
      !isFresh(known, now, SILENCE) ||
      known.digest.incarnation !== digest.incarnation ||
      known.digest.isLeaving !== digest.isLeaving;
    const isSooner = known?.heardAt === undefined || heardAt > known.heardAt ||
      known.digest?.incarnation !== digest.incarnation;
    if (merged.isChanged || merged.hasNewEngines) this.#changes += 1;
    this.#peers.set(id, {
      record: recordOf(merged.digest),
      digest: merged.digest,
      heardAt: isSooner ? heardAt : known.heardAt,
      isRelayed: isSooner ? terms.isRelayed : known.isRelayed,
      knownSince: known?.knownSince ?? now,
      index: known?.index ?? this.#indexOf(id),
      changedAt: merged.isChanged ? this.#changes : known?.changedAt ?? 0,
      enginesChangedAt: merged.hasNewEngines
        ? this.#changes
        : known?.enginesChangedAt ?? 0,
    });
    return isNews;
  }

  /**
   * Takes note that another node has heard a node, of which it told before.
   * @param now The present time.
   * @param id The node.
   * @param incarnation The run that was heard.
   * @param age How long ago it was heard.
   * @returns Whether the node counted as gone before.
   */
  heardOf(
    now: Instant,
    id: NodeId,
    incarnation: string,
    age: Duration,
  ): boolean {
    const known = this.#peers.get(id);
    if (known?.digest?.incarnation !== incarnation) return false;
    const heardAt = instant(now - age);
    if (known.heardAt !== undefined && heardAt <= known.heardAt) return false;
    const wasGone = !isFresh(known, now, SILENCE);
    this.#peers.set(id, { ...known, heardAt, isRelayed: true });
    return wasGone && isFresh({ ...known, heardAt }, now, SILENCE);
  }

  /**
   * Lists the nodes that may be there.
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
   * Lists the nodes that can be asked of others: those that are there, and
   * those that have not had the time to tell of themselves.
   * @param now The present time.
   * @returns The nodes.
   */
  candidates(now: Instant): readonly NodeRecord[] {
    return this.#there(now).map((peer) => peer.record);
  }

  /**
   * Lists the nodes that may serve: those that are there and don't leave.
   * @param now The present time.
   * @returns The nodes, with what they can do.
   */
  servingCandidates(now: Instant): readonly ServingCandidate[] {
    return this.#there(now)
      .filter(({ digest }) => digest?.isLeaving !== true)
      .map(({ record, digest }) => ({
        id: record.id,
        failureDomain: record.failureDomain,
        capacity: capacityOf(digest?.capacity ?? record.capacity),
        load: loadOf(digest?.load ?? 0),
      }));
  }

  /**
   * Lists what another node has not heard yet.
   * @param now The present time.
   * @param terms Of what it wants to hear.
   * @returns The nodes of which something has changed.
   */
  newsSince(now: Instant, terms: NewsTerms): readonly NodeNews[] {
    return [...this.#peers.values()]
      .flatMap((peer) => newsOf(now, peer, terms, FORGOTTEN) ?? []);
  }

  /**
   * Tells how long ago each node was heard.
   * @param now The present time.
   * @returns The ages by index, as they are told.
   */
  ages(now: Instant): number[] {
    return this.#order.map((id) => {
      const heardAt = this.#peers.get(id)?.heardAt;
      if (heardAt === undefined) return NO_AGE;
      const age = elapsed(heardAt, now);
      return age >= FORGOTTEN ? NO_AGE : toldAge(age);
    });
  }

  /**
   * Lists the nodes that are there.
   * @param now The present time.
   * @returns What each says of itself.
   */
  alive(now: Instant): readonly NodeDigest[] {
    return [...this.#peers.values()].flatMap((peer) =>
      peer.digest !== undefined && isFresh(peer, now, silenceOf(peer))
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
   * Tells up to which change a node's engines are known.
   * @param id The node.
   * @param incarnation Its run.
   * @returns The sequence of their states, 0 where none are known.
   */
  enginesKnown(id: NodeId, incarnation: string): number {
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
  ): HeardEngine | undefined {
    const peer = this.#peers.get(owner);
    if (peer?.digest === undefined) return undefined;
    if (!isFresh(peer, now, STALE_DIGEST)) return undefined;
    const digest = peer.digest.engineStates?.engines
      .find((one) => one.engine === engine);
    if (digest === undefined) return undefined;
    return { owner, address: peer.record.address, digest };
  }

  #there(now: Instant): readonly Peer[] {
    return [...this.#peers.values()].filter((peer) =>
      peer.digest === undefined
        ? elapsed(peer.knownSince, now) < SILENCE
        : isFresh(peer, now, silenceOf(peer))
    );
  }

  #indexOf(id: NodeId): number {
    const known = this.#peers.get(id)?.index;
    if (known !== undefined) return known;
    this.#order.push(id);
    return this.#order.length - 1;
  }
}

function recordOf(digest: NodeDigest): NodeRecord {
  return {
    id: nodeId(digest.node),
    incarnation: digest.incarnation,
    address: digest.address,
    failureDomain: failureDomainId(digest.failureDomain),
    capacity: digest.capacity,
  };
}
