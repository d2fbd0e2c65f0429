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
} from "@foxtailwind/core";
import type {
  AgedDigest,
  EngineDigest,
  KnownDigest,
  NodeDigest,
} from "@foxtailwind/protocol";
import type { NodeRecord } from "./shared_log.ts";

/** A node that is silent for longer counts as gone: six missed exchanges. */
const SILENCE: Duration = milliseconds(1_500);
/** A digest that is older says nothing of an engine any more. */
const STALE_DIGEST: Duration = milliseconds(1_200);
/**
 * What hubs pass on may be so much older: its node tells its hub every 600 ms,
 * two hubs ask on its way every 300 ms, and the last node every 600 ms.
 */
const RELAY_TIME = 1_800;
/** How long a node's word that it stops is remembered. */
const STOP_MEMORY: Duration = milliseconds(20_000);
/** A node that has not been heard of for so long is asked no more. */
const FORGOTTEN: Duration = milliseconds(60_000);

interface Peer {
  readonly record: NodeRecord;
  readonly digest?: NodeDigest;
  readonly heardAt?: Instant;
  readonly knownSince: Instant;
  /** Whether the newest digest came by way of another node. */
  readonly isRelayed: boolean;
}

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

  /**
   * Takes note of a node that the log names.
   * @param now The present time.
   * @param record The node.
   */
  record(now: Instant, record: NodeRecord): void {
    const known = this.#peers.get(record.id);
    if (known?.record.incarnation === record.incarnation) return;
    this.#peers.set(record.id, { record, knownSince: now, isRelayed: false });
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
    if (known !== undefined && !isNewer(digest, heardAt, known)) return false;
    const isNews = known?.digest === undefined ||
      !isFresh(known, now, SILENCE) ||
      known.digest.incarnation !== digest.incarnation ||
      known.digest.isLeaving !== digest.isLeaving;
    const record = {
      id,
      incarnation: digest.incarnation,
      address: digest.address,
      failureDomain: failureDomainId(digest.failureDomain),
    };
    const knownSince = known?.knownSince ?? now;
    const { isRelayed } = terms;
    this.#peers.set(id, { record, digest, heardAt, knownSince, isRelayed });
    return isNews;
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
    return [...this.#peers.values()]
      .filter((peer) =>
        peer.digest === undefined
          ? elapsed(peer.knownSince, now) < SILENCE
          : isFresh(peer, now, SILENCE)
      )
      .map((peer) => peer.record);
  }

  /** The newest digest that is known of each node. */
  get known(): readonly KnownDigest[] {
    return this.#digests().map(({ digest }) => ({
      node: digest.node,
      incarnation: digest.incarnation,
      sequence: digest.sequence,
    }));
  }

  /**
   * Lists what another node may lack.
   * @param now The present time.
   * @param known The newest digests that the other node knows.
   * @returns The digests of the last minute that differ from those.
   */
  newerThan(
    now: Instant,
    known: readonly KnownDigest[],
  ): readonly AgedDigest[] {
    const before = new Map(known.map((one) => [one.node, one]));
    return this.#digests()
      .filter(({ digest, heardAt }) => {
        if (elapsed(heardAt, now) >= FORGOTTEN) return false;
        const one = before.get(digest.node);
        return one?.incarnation !== digest.incarnation ||
          one.sequence < digest.sequence;
      })
      .map(({ digest, heardAt }) => ({
        digest,
        ageMilliseconds: Math.round(elapsed(heardAt, now)),
      }));
  }

  #digests(): readonly HeardDigest[] {
    return [...this.#peers.values()].flatMap(({ digest, heardAt }) =>
      digest === undefined || heardAt === undefined ? [] : [{ digest, heardAt }]
    );
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

interface HeardDigest {
  readonly digest: NodeDigest;
  readonly heardAt: Instant;
}

function isFresh(peer: Peer, now: Instant, limit: Duration): boolean {
  const allowance = peer.isRelayed ? RELAY_TIME : 0;
  return peer.heardAt !== undefined &&
    elapsed(peer.heardAt, now) < limit + allowance;
}

/**
 * Tells whether a digest says more than what is known. Digests of one run are
 * numbered; of two runs, the one that was given last is of the later one.
 */
function isNewer(digest: NodeDigest, heardAt: Instant, known: Peer): boolean {
  if (known.digest === undefined || known.heardAt === undefined) return true;
  return known.digest.incarnation === digest.incarnation
    ? digest.sequence > known.digest.sequence
    : heardAt > known.heardAt;
}
