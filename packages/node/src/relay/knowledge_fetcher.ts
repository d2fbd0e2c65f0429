import { elapsed, type Instant, milliseconds } from "@foxtailwind/core";
import type {
  Knowledge as KnowledgeMessage,
  NodeDigest,
  RelayPeersClient,
} from "@foxtailwind/protocol";
import { Metadata } from "@grpc/grpc-js";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import { decodeProofAge } from "./accounts/proof_age.ts";
import type { Knowledge } from "./knowledge.ts";
import { readKnowledge } from "./knowledge_message.ts";

/** How long the log is unreachable before a peer is asked instead. */
const LOG_OUTAGE_DELAY = milliseconds(1_500);
/**
 * How long a node waits for its own read of records that a peer has already
 * read. The store notifies all readers within a few milliseconds.
 */
const BEHIND_PEERS_DELAY_MILLISECONDS = 100;
/**
 * The time after which another peer is asked. A peer answers within a few
 * milliseconds, or within about 200 on a link that loses a packet.
 */
const FETCH_TIMEOUT_MILLISECONDS = 300;

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
  #isCatchingUp = false;
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
    if (knowledge.isLogReachable(now)) return;
    const since = this.#lastOutageFetchAt ?? this.#startedAt;
    if (elapsed(since, now) < LOG_OUTAGE_DELAY) return;
    const peer = pickRandom(knowledge.peers.alive(now));
    if (peer === undefined) return;
    this.#lastOutageFetchAt = now;
    this.#fetchFrom(peer, () => undefined);
  }

  /**
   * Fetches from a peer that knows of more records, unless this node reads them
   * itself shortly. Its own read may hang on a silent connection, or the store
   * may reject this node.
   */
  catchUpWithPeers(): void {
    if (this.#isStopped || this.#isCatchingUp) return;
    if (this.#peersAhead().length === 0) return;
    this.#behindTimer ??= setTimeout(() => {
      this.#behindTimer = undefined;
      const peer = pickRandom(this.#peersAhead());
      if (peer === undefined) return;
      this.#isCatchingUp = true;
      this.#fetchFrom(peer, () => {
        this.#isCatchingUp = false;
        this.catchUpWithPeers();
      });
    }, BEHIND_PEERS_DELAY_MILLISECONDS);
  }

  /** Stops fetching. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#behindTimer);
  }

  /** Lists the peers that know of more records than this node. */
  #peersAhead(): readonly NodeDigest[] {
    const { knowledge, clock } = this.#parts;
    return knowledge.peers.alive(clock.now()).filter((peer) =>
      peer.operatorsEnd > knowledge.operatorsEnd
    );
  }

  #fetchFrom(peer: NodeDigest, onEnd: () => void): void {
    const { knowledge, logger, client } = this.#parts;
    knowledge.workCounts.increment("knowledge_asked");
    const askedAt = knowledge.proofs.now;
    client(peer.address).fetchKnowledge(
      { configurationVersion: knowledge.routes?.configuration.version ?? 0 },
      new Metadata(),
      { deadline: Date.now() + FETCH_TIMEOUT_MILLISECONDS },
      (error, answer: KnowledgeMessage | undefined) => {
        if (error !== null || answer === undefined) {
          logger.warn("Fetching knowledge from a peer failed.", {
            peer: peer.node,
            detail: error?.message,
          });
        } else {
          readKnowledge(knowledge, answer);
          knowledge.applyPeerProof(askedAt, {
            age: decodeProofAge(answer),
            end: answer.operatorsEnd,
          });
          logger.info("Fetched knowledge from a peer.", { peer: peer.node });
        }
        onEnd();
      },
    );
  }
}

function pickRandom(peers: readonly NodeDigest[]): NodeDigest | undefined {
  return peers[Math.floor(Math.random() * peers.length)];
}
