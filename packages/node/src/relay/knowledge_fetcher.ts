import { elapsed, type Instant, milliseconds } from "@foxtailwind/core";
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

/** The dependencies of {@link KnowledgeFetcher}. */
export interface KnowledgeFetcherParts {
  readonly knowledge: Knowledge;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Returns the client of the peer at an address. */
  readonly client: (address: string) => RelayPeersClient;
}

/** Fetches from peers what this node has not read from the log itself. */
export class KnowledgeFetcher {
  readonly #parts: KnowledgeFetcherParts;
  readonly #startedAt: Instant;
  #lastOutageFetchAt: Instant | undefined;
  #behindTimer: NodeJS.Timeout | undefined;
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
    this.#fetchFrom(peer);
  }

  /**
   * Fetches from a peer that knows of more records, unless this node reads them
   * itself shortly. Its own read may hang on a silent connection, or the store
   * may reject this node.
   */
  catchUpWithPeers(): void {
    if (this.#isStopped || this.#fetch !== undefined) return;
    if (this.#peersAhead().length === 0) return;
    this.#behindTimer ??= setTimeout(() => {
      this.#behindTimer = undefined;
      const peer = pickRandom(this.#peersAhead());
      if (peer === undefined || this.#fetch !== undefined) return;
      this.#fetchFrom(peer);
    }, BEHIND_PEERS_DELAY_MILLISECONDS);
  }

  /** Stops fetching. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#behindTimer);
    this.#fetch?.cancel();
  }

  /** Lists the peers that know of more records than this node. */
  #peersAhead(): readonly NodeDigest[] {
    const { knowledge, clock } = this.#parts;
    return knowledge.peers.alive(clock.now()).filter((peer) =>
      peer.operatorsEnd > knowledge.operatorsEnd
    );
  }

  #fetchFrom(peer: NodeDigest): void {
    const { knowledge, logger, client } = this.#parts;
    knowledge.workCounts.increment("knowledge_asked");
    const askedAt = knowledge.proofs.now;
    const request = {
      configurationVersion: knowledge.routes?.configuration.version ?? 0,
    };
    this.#fetch = new KnowledgeFetch(client(peer.address), request, {
      onAnswer: (answer) => {
        readKnowledge(knowledge, answer);
        knowledge.applyPeerProof(askedAt, {
          age: decodeProofAge(answer),
          end: answer.operatorsEnd,
        });
        logger.info("Fetched knowledge from a peer.", { peer: peer.node });
        this.#recordEnd();
      },
      onFailure: (detail) => {
        logger.warn("Fetching knowledge from a peer failed.", {
          peer: peer.node,
          detail,
        });
        this.#recordEnd();
      },
    });
  }

  #recordEnd(): void {
    this.#fetch = undefined;
    this.catchUpWithPeers();
  }
}

function pickRandom(peers: readonly NodeDigest[]): NodeDigest | undefined {
  return peers[Math.floor(Math.random() * peers.length)];
}
