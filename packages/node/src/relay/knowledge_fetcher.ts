import {
  elapsed,
  type Instant,
  knowledgeSources,
  milliseconds,
  type NodeId,
  nodeId,
  type PeerAhead,
  peerSilenceLimit,
} from "@foxtailwind/core";
import type { NodeDigest, RelayPeersClient } from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import { decodeProofAge } from "./accounts/proof_age.ts";
import type { Knowledge } from "./knowledge.ts";
import { KnowledgeFetch } from "./knowledge_fetch.ts";
import { readKnowledge } from "./knowledge_message.ts";

/** How long the log is unreachable before a peer is asked instead. */
const LOG_OUTAGE_DELAY = milliseconds(1_500);
/**
 * How long a node waits for its own read of records that a peer has already
 * read. The store notifies all readers within a few milliseconds.
 */
const BEHIND_PEERS_DELAY_MILLISECONDS = 100;

/** A peer that is ahead, and its address. */
interface KnowledgeSource extends PeerAhead {
  readonly address: string;
}

/** The dependencies of {@link KnowledgeFetcher}. */
export interface KnowledgeFetcherParts {
  readonly knowledge: Knowledge;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Returns the client of the peer at an address. */
  readonly client: (address: string) => RelayPeersClient;
  /** Tells whether this node exchanges digests with the peer at an address. */
  readonly isPartner: (address: string) => boolean;
}

/** Fetches from peers what this node has not read from the log itself. */
export class KnowledgeFetcher {
  readonly #parts: KnowledgeFetcherParts;
  readonly #startedAt: Instant;
  #lastOutageFetchAt: Instant | undefined;
  #behindTimer: NodeJS.Timeout | undefined;
  /** Since when peers have been ahead of this node, if they are. */
  #behindSince: Instant | undefined;
  /** The peer whose answer failed last. */
  #failedPeer: NodeId | undefined;
  /** The number of consecutive failed fetches. */
  #failures = 0;
  #fetch: KnowledgeFetch | undefined;
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: KnowledgeFetcherParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
  }

  /**
   * Fetches from a random peer if the log has long been unreachable.
   * @param now The present time.
   */
  fetchDuringLogOutage(now: Instant): void {
    const { knowledge } = this.#parts;
    if (this.#fetch !== undefined || knowledge.isLogReachable(now)) return;
    const since = this.#lastOutageFetchAt ?? this.#startedAt;
    if (elapsed(since, now) < LOG_OUTAGE_DELAY) return;
    const peer = pickRandom(knowledge.peers.alive(now));
    if (peer === undefined) return;
    this.#lastOutageFetchAt = now;
    this.#fetchFrom(this.#toSource(peer));
  }

  /**
   * Fetches from a peer that knows of more records, unless this node reads them
   * itself shortly. Its own read may hang on a silent connection, or the store
   * may reject this node.
   */
  catchUpWithPeers(): void {
    if (this.#isStopped || this.#fetch !== undefined) return;
    if (this.#peersAhead().length === 0) {
      this.#behindSince = undefined;
      return;
    }
    const { knowledge, clock } = this.#parts;
    const isNew = this.#behindSince === undefined;
    this.#behindSince ??= clock.now();
    // A node that others notify is not about to read the records itself.
    const isUrgent = isNew && knowledge.isNotifiedByPeers;
    this.#behindTimer ??= setTimeout(() => {
      this.#behindTimer = undefined;
      this.#fetchFromPeerAhead();
    }, isUrgent ? 0 : BEHIND_PEERS_DELAY_MILLISECONDS);
  }

  /** Stops fetching. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#behindTimer);
    this.#fetch?.cancel();
  }

  #fetchFromPeerAhead(): void {
    if (this.#fetch !== undefined) return;
    const now = this.#parts.clock.now();
    const sources = knowledgeSources(this.#peersAhead(), {
      behindFor: elapsed(this.#behindSince ?? now, now),
      failedPeer: this.#failedPeer,
    });
    const source = pickRandom(sources);
    if (source === undefined) this.catchUpWithPeers();
    else this.#fetchFrom(source);
  }

  /** Lists the peers that know of more records than this node. */
  #peersAhead(): readonly KnowledgeSource[] {
    const { knowledge, clock } = this.#parts;
    return knowledge.peers.alive(clock.now())
      .filter((peer) => peer.operatorsEnd > knowledge.operatorsEnd)
      .map((peer) => this.#toSource(peer));
  }

  #toSource({ node, address }: NodeDigest): KnowledgeSource {
    const isPartner = this.#parts.isPartner(address);
    return { id: nodeId(node), address, isPartner };
  }

  #fetchFrom({ id, address }: KnowledgeSource): void {
    const { knowledge, logger, client } = this.#parts;
    knowledge.workCounts.increment("knowledge_asked");
    const askedAt = knowledge.proofs.now;
    const request = {
      configurationVersion: knowledge.routes?.configuration.version ?? 0,
    };
    const silenceLimit = peerSilenceLimit(this.#failures);
    const options = { request, silenceLimit };
    this.#fetch = new KnowledgeFetch(client(address), options, {
      onAnswer: (answer) => {
        readKnowledge(knowledge, answer);
        knowledge.applyPeerProof(askedAt, {
          age: decodeProofAge(answer),
          end: answer.operatorsEnd,
        });
        logger.info("Fetched knowledge from a peer.", { peer: id });
        this.#behindSince = undefined;
        this.#recordEnd(undefined);
      },
      onFailure: (detail) => {
        logger.warn("Fetching knowledge from a peer failed.", {
          peer: id,
          detail,
        });
        this.#recordEnd(id);
      },
    });
  }

  #recordEnd(failedPeer: NodeId | undefined): void {
    this.#fetch = undefined;
    this.#failedPeer = failedPeer;
    this.#failures = failedPeer === undefined ? 0 : this.#failures + 1;
    this.catchUpWithPeers();
  }
}

function pickRandom<T>(items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)];
}
