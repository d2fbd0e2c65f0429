import { elapsed, type Instant, milliseconds } from "@foxtailwind/core";
import type {
  Knowledge as KnowledgeMessage,
  NodeDigest,
  RelayPeersClient,
} from "@foxtailwind/protocol";
import { Metadata } from "@grpc/grpc-js";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { Knowledge } from "./knowledge.ts";
import { readKnowledge } from "./knowledge_message.ts";

/** After so long without the log, a peer is asked for what it knows. */
const LOG_OUTAGE_DELAY = milliseconds(1_500);
/**
 * How long a node waits for its own read of what a peer has read already, in
 * milliseconds. The store tells all its readers within a few.
 */
const BEHIND_PEERS_DELAY_MILLISECONDS = 100;
/**
 * After so many milliseconds another peer is asked. A peer answers within a
 * few; on a link that loses a packet, within about 200.
 */
const FETCH_TIMEOUT_MILLISECONDS = 300;

/** What asking peers works with. */
export interface KnowledgeFetcherParts {
  readonly knowledge: Knowledge;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
  /** Gives the client of the peer at an address. */
  readonly client: (address: string) => RelayPeersClient;
}

/** Asks the peers for what this node hasn't read in the log itself. */
export class KnowledgeFetcher {
  readonly #parts: KnowledgeFetcherParts;
  readonly #startedAt: Instant;
  #lastOutageFetchAt: Instant | undefined;
  #behindTimer: NodeJS.Timeout | undefined;
  #isCatchingUp = false;
  #isStopped = false;

  /** @param parts What it works with. */
  constructor(parts: KnowledgeFetcherParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
  }

  /**
   * Asks some peer, where the log has been out of reach for long.
   * @param now The present time.
   */
  fetchDuringLogOutage(now: Instant): void {
    const { knowledge } = this.#parts;
    if (knowledge.isInContact(now)) return;
    const since = this.#lastOutageFetchAt ?? this.#startedAt;
    if (elapsed(since, now) < LOG_OUTAGE_DELAY) return;
    const peer = pickRandom(knowledge.peers.alive(now));
    if (peer === undefined) return;
    this.#lastOutageFetchAt = now;
    this.#fetchFrom(peer, () => undefined);
  }

  /**
   * Asks a peer that knows of more changes, unless this node reads them itself
   * in a moment: its own read may wait on a connection that has fallen silent,
   * or the store may turn this node away; in a large system few nodes read the
   * registry often.
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

  /** Asks no more. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#behindTimer);
  }

  /** The peers that know of more changes. */
  #peersAhead(): readonly NodeDigest[] {
    const { knowledge, clock } = this.#parts;
    return knowledge.peers.alive(clock.now()).filter((peer) =>
      peer.operatorsEnd > knowledge.operatorsEnd ||
      peer.registryEnd > knowledge.registry.changedAt
    );
  }

  #fetchFrom(peer: NodeDigest, onEnd: () => void): void {
    const { knowledge, logger, client } = this.#parts;
    knowledge.work.count("knowledge_asked");
    client(peer.address).fetchKnowledge(
      {
        configurationVersion: knowledge.routes?.configuration.version ?? 0,
        registryEnd: knowledge.registry.changedAt,
      },
      new Metadata(),
      { deadline: Date.now() + FETCH_TIMEOUT_MILLISECONDS },
      (error, answer: KnowledgeMessage | undefined) => {
        if (error !== null || answer === undefined) {
          logger.warn("A peer did not tell what it knows.", {
            peer: peer.node,
            detail: error?.message,
          });
        } else {
          readKnowledge(knowledge, answer);
          logger.info("A peer told what it knows.", { peer: peer.node });
        }
        onEnd();
      },
    );
  }
}

function pickRandom(peers: readonly NodeDigest[]): NodeDigest | undefined {
  return peers[Math.floor(Math.random() * peers.length)];
}
