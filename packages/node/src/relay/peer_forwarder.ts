import { nodeId, type ServiceId } from "@foxtailwind/core";
import { resetUnanswered, trackConnectionEnds } from "@foxtailwind/edges";
import type { NodeDigest } from "@foxtailwind/protocol";
import { buildConnector, type Dispatcher, Pool } from "undici";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { Knowledge } from "./knowledge.ts";
import type { ReachMonitor } from "./reach_monitor.ts";

/** An attempt to connect to a peer that takes longer counts as failed. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;
/** The most connections to one peer. */
const MAXIMUM_CONNECTIONS = 100;
/** How long idle connections are kept if the peer states no time. */
const KEEP_ALIVE_MILLISECONDS = 4_000;

/** The dependencies of {@link PeerForwarder}. */
export interface PeerForwarderParts {
  readonly knowledge: Pick<Knowledge, "peers" | "serving">;
  readonly reach: Pick<ReachMonitor, "isUnreached">;
  readonly clock: SteadyClock;
}

/**
 * Chooses peers that requests are forwarded to while this node doesn't reach
 * their servers, and keeps the connections to these peers.
 */
export class PeerForwarder {
  readonly #parts: PeerForwarderParts;
  readonly #pools = new Map<string, Pool>();
  readonly #connect = resetUnanswered(trackConnectionEnds(buildConnector({
    timeout: CONNECT_TIMEOUT_MILLISECONDS,
  })));

  /** @param parts The dependencies. */
  constructor(parts: PeerForwarderParts) {
    this.#parts = parts;
  }

  /**
   * Chooses a peer for a request that this node can't send to its service.
   * @param service The service.
   * @param excluded Caller addresses of peers that were tried already.
   * @returns The peer's caller address, or `undefined` if this node reaches the
   * service or knows no peer that does.
   */
  choosePeer(
    service: ServiceId,
    excluded: ReadonlySet<string> = new Set(),
  ): string | undefined {
    const { knowledge, reach, clock } = this.#parts;
    if (!reach.isUnreached(service)) return undefined;
    const able = knowledge.peers.alive(clock.now()).filter((peer) =>
      peer.isReady && !peer.isLeaving && !excluded.has(peer.callerAddress) &&
      !peer.unreachedServices.includes(service)
    );
    const isServing = ({ node }: NodeDigest) =>
      knowledge.serving.has(nodeId(node));
    const preferred = able.some(isServing) ? able.filter(isServing) : able;
    const index = Math.floor(Math.random() * preferred.length);
    return preferred[index]?.callerAddress;
  }

  /**
   * Returns the connections to a peer.
   * @param address The peer's caller address.
   * @returns The connections.
   */
  connectionsTo(address: string): Dispatcher {
    const known = this.#pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      connections: MAXIMUM_CONNECTIONS,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      connect: this.#connect,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  /** Closes all connections immediately. */
  async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
