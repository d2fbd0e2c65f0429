import {
  type BackendServerId,
  isDifferentStart,
  type RegisteredServer,
  type ServerStart,
} from "@foxtailwind/core";
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

interface KnownPool {
  /** Told later where it was unknown at first. */
  start: ServerStart | undefined;
  readonly pool: Pool;
}

/** Keeps connections to backend servers, apart for each start of a server. */
export class BackendPools {
  readonly #pools = new Map<BackendServerId, KnownPool>();
  readonly #connect = noteConnectionEnds(buildConnector({
    timeout: CONNECT_MILLISECONDS,
    keepAlive: true,
    keepAliveInitialDelay: PROBE_MILLISECONDS,
  }));

  /**
   * Gives the connections to a server. Those to an earlier start are left to
   * the requests that use them, some of which may run at the new start.
   * @param server The server, as it is known now.
   * @param limit The connections that it accepts from all nodes.
   * @param nodes How many nodes share them.
   * @returns The connections.
   */
  pool(server: RegisteredServer, limit: number, nodes: number): Dispatcher {
    const known = this.#pools.get(server.id);
    if (known !== undefined && !isDifferentStart(known.start, server.start)) {
      known.start ??= server.start;
      return known.pool;
    }
    this.renew(server.id);
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
    this.#pools.set(server.id, { start: server.start, pool });
    return pool;
  }

  /**
   * Tells whether connections to a server are open: with its end all end.
   * @param server The server, as it was known when it was last sent to.
   * @returns Whether some are.
   */
  isConnected({ id, start }: RegisteredServer): boolean {
    const known = this.#pools.get(id);
    if (known === undefined || isDifferentStart(known.start, start)) {
      return false;
    }
    return known.pool.stats.connected > 0;
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
    const known = this.#pools.get(id);
    if (known === undefined) return;
    this.#pools.delete(id);
    void known.pool.close();
  }

  /**
   * Closes the connections to servers and starts that are gone, after their
   * requests.
   * @param servers The servers that are there.
   */
  retain(servers: readonly RegisteredServer[]): void {
    const starts = new Map(servers.map(({ id, start }) => [id, start]));
    for (const [id, { start }] of this.#pools) {
      const remains = starts.has(id) &&
        !isDifferentStart(start, starts.get(id));
      if (!remains) this.renew(id);
    }
  }

  /** Closes all connections at once. */
  async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }
}
