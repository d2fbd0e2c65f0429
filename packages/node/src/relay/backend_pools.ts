import type { BackendServerId, RegisteredServer } from "@foxtailwind/core";
import { noteConnectionEnds } from "@foxtailwind/edges";
import { buildConnector, Client, type Dispatcher, Pool } from "undici";

/** A connection that takes longer counts as failed. */
const CONNECT_MILLISECONDS = 700;
/** Idle connections are kept so long where the server states no time. */
const KEEP_ALIVE_MILLISECONDS = 4_000;
/** A connection is given up so long before the server's stated time. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 600;
/** The longest stated time that is believed. */
const KEEP_ALIVE_MOST_MILLISECONDS = 60_000;
/** The first probe of an idle TCP connection. */
const PROBE_MILLISECONDS = 1_000;
/** The share of a server's connections that all nodes together use. */
const CONNECTION_SHARE = 0.85;
const FEWEST_CONNECTIONS = 2;

/** Keeps connections to backend servers, apart for each run of a server. */
export class BackendPools {
  readonly #pools = new Map<BackendServerId, Pool>();
  readonly #connect = noteConnectionEnds(buildConnector({
    timeout: CONNECT_MILLISECONDS,
    keepAlive: true,
    keepAliveInitialDelay: PROBE_MILLISECONDS,
  }));

  /**
   * Gives the connections to a server.
   * @param server The server.
   * @param limit The connections that it accepts from all nodes.
   * @param nodes How many nodes share them.
   * @returns The connections.
   */
  pool(server: RegisteredServer, limit: number, nodes: number): Dispatcher {
    const known = this.#pools.get(server.id);
    if (known !== undefined) return known;
    const share = Math.floor(limit * CONNECTION_SHARE / nodes);
    const pool = new Pool(`http://${server.address}`, {
      connections: Math.max(FEWEST_CONNECTIONS, share),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MOST_MILLISECONDS,
      connect: this.#connect,
    });
    this.#pools.set(server.id, pool);
    return pool;
  }

  /**
   * Gives a connection to a server for one request, to be closed by its user.
   * @param server The server.
   * @returns The connection.
   */
  single(server: RegisteredServer): Dispatcher {
    return new Client(`http://${server.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.#connect,
    });
  }

  /**
   * Leaves a server's open connections to the requests that use them, and
   * opens new ones for those to come: the open ones may have gone silent.
   * @param id The server.
   */
  renew(id: BackendServerId): void {
    const pool = this.#pools.get(id);
    if (pool === undefined) return;
    this.#pools.delete(id);
    void pool.close();
  }

  /**
   * Closes the connections to servers that are gone, after their requests.
   * @param ids The servers that remain.
   */
  retain(ids: ReadonlySet<BackendServerId>): void {
    for (const id of this.#pools.keys()) {
      if (!ids.has(id)) this.renew(id);
    }
  }

  /** Closes all connections at once. */
  async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
